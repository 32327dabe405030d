package org.masticwick.daemon.process.settings;

/**
 * Describes one thing that is wrong in a settings file.
 *
 * @param file the name of the file
 * @param key the full key, such as {@code host.domain}; empty if the file as a whole is
 * meant
 * @param value the value found, or {@code (missing)}
 * @param allowed what is allowed there
 */
public record SettingsProblem(String file, String key, String value, String allowed) {

	@Override
	public String toString() {
		String location = this.key.isEmpty() ? this.file : this.file + ": " + this.key;
		return location + ": found " + this.value + ", allowed: " + this.allowed;
	}

}
