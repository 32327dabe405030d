package org.masticwick.core.version;

/**
 * One problem of a release note or of a state of the site.
 *
 * @param source the file that the note was read from, or the name of another origin
 * @param key the path of the field in the note, such as {@code capacities[2].slots}
 * @param message what is wrong with the field
 * @param allowed the allowed values; empty if the message names them
 */
public record NoteProblem(String source, String key, String message, String allowed) {

	@Override
	public String toString() {
		String suffix = (this.allowed.isEmpty()) ? "" : "; allowed: " + this.allowed;
		return this.source + ": " + this.key + ": " + this.message + suffix;
	}

}
