package org.masticwick.daemon.process.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * Loads a settings file and checks it as a whole, so that all problems are reported at
 * once.
 */
public final class SettingsLoader {

	private static final TomlMapper MAPPER = new TomlMapper();

	private SettingsLoader() {
	}

	/**
	 * Reads the settings from a file.
	 * @param file the TOML file
	 * @return the settings
	 * @throws InvalidSettingsException if the file can't be read, or with all problems
	 * found in it
	 */
	public static Settings load(Path file) {
		String text;
		try {
			text = Files.readString(file);
		}
		catch (IOException ex) {
			throw fileProblem(file.toString(), ex.toString(), "a readable file in UTF-8");
		}
		return parse(text, file.toString());
	}

	/**
	 * Reads the settings from text.
	 * @param text the TOML text
	 * @param fileName the name of the file that problems are reported with
	 * @return the settings
	 * @throws InvalidSettingsException with all problems found
	 */
	public static Settings parse(String text, String fileName) {
		JsonNode root;
		try {
			root = MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw fileProblem(fileName, linePrefix(ex.getLocation()) + ex.getOriginalMessage(), "TOML 1.0");
		}
		List<SettingsProblem> problems = new ArrayList<>();
		Settings settings = new SettingsReader(fileName, root, problems::add).read();
		if (!problems.isEmpty()) {
			throw new InvalidSettingsException(problems);
		}
		return settings;
	}

	private static String linePrefix(JsonLocation location) {
		return (location != null) ? "line " + location.getLineNr() + ": " : "";
	}

	private static InvalidSettingsException fileProblem(String fileName, String value, String allowed) {
		return new InvalidSettingsException(List.of(new SettingsProblem(fileName, "", value, allowed)));
	}

}
