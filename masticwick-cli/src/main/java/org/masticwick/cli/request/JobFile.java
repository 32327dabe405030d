package org.masticwick.cli.request;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

import org.masticwick.core.request.JobRequest;

/**
 * Loads job files: TOML if the name ends with {@code .toml}, otherwise JSON.
 */
public final class JobFile {

	private static final ObjectMapper JSON = JsonMapper.builder().build();

	private static final ObjectMapper TOML = new TomlMapper();

	private JobFile() {
	}

	/**
	 * Loads a job.
	 * @param file the job file
	 * @return the job
	 * @throws InvalidJobFileException if the file can't be read or holds no valid job
	 */
	public static JobRequest load(Path file) {
		ObjectMapper mapper = file.toString().endsWith(".toml") ? TOML : JSON;
		try {
			JobBody body = JobBody.read(mapper.readTree(Files.readString(file)));
			check(file, body);
			return body.toRequest();
		}
		catch (JsonProcessingException ex) {
			throw new InvalidJobFileException(file + ": " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new InvalidJobFileException(file + ": " + ex, ex);
		}
	}

	private static void check(Path file, JobBody body) {
		if (body == null || body.service() == null || body.tasks() == null || body.tasks().isEmpty()) {
			throw new InvalidJobFileException(file + ": a job needs a service and at least one task", null);
		}
		if (body.tasks().stream().anyMatch((task) -> task.kind() == null || task.payload() == null)) {
			throw new InvalidJobFileException(file + ": each task needs a kind and a payload", null);
		}
	}

}
