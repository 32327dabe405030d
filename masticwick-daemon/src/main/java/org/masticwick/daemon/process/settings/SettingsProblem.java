package org.masticwick.daemon.process.settings;

/**
 * A problem found in a settings file.
 *
 * @param file the name of the file
 * @param key the full key, such as {@code host.domain}; empty if the problem concerns the
 * whole file
 * @param value the value found in JSON, {@code (missing)} if there is none, or the error
 * if the file can't be read
 * @param allowed describes the allowed values
 */
public record SettingsProblem(String file, String key, String value, String allowed) {

	@Override
	public String toString() {
		String location = this.key.isEmpty() ? this.file : this.file + ": " + this.key;
		return location + ": found " + this.value + ", allowed: " + this.allowed;
	}

}
