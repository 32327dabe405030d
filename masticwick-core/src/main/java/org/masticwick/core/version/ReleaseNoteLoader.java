package org.masticwick.core.version;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * Loads release notes in TOML, as operators write them. Reports all problems of a note at
 * once.
 */
public final class ReleaseNoteLoader {

	private static final TomlMapper TOML = new TomlMapper();

	private static final long MAX_FILE_BYTES = 1_048_576;

	/**
	 * Loads a note from a file.
	 * @param file the file
	 * @return the note
	 * @throws InvalidNoteException if the file can't be read or is too large, or if the
	 * note is invalid
	 */
	public ReleaseNote load(Path file) {
		try {
			if (Files.size(file) > MAX_FILE_BYTES) {
				throw invalid(file.toString(), "", "is too large", "up to " + MAX_FILE_BYTES + " bytes");
			}
			return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw invalid(file.toString(), "", "can't be read: " + ex, "a file of UTF-8 text");
		}
	}

	/**
	 * Loads a note from text.
	 * @param source the origin of the text, which the problems name
	 * @param text the text
	 * @return the note
	 * @throws InvalidNoteException if the text is not TOML or the note is invalid
	 */
	public ReleaseNote parse(String source, String text) {
		return new NoteReader(true).read(source, readTree(source, text));
	}

	private static JsonNode readTree(String source, String text) {
		try {
			return TOML.readTree(text);
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			throw invalid(source, "line " + line, ex.getOriginalMessage(), "TOML");
		}
	}

	private static InvalidNoteException invalid(String source, String key, String message, String allowed) {
		return new InvalidNoteException(List.of(new NoteProblem(source, key, message, allowed)));
	}

}
