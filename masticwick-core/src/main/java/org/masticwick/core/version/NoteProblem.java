package org.masticwick.core.version;

/**
 * Names one thing that is wrong with a release note.
 *
 * @param source the file, or where else the note comes from
 * @param key the key in the note, as in {@code capacities[2].slots}
 * @param message what is wrong
 * @param allowed what is allowed; empty if the message says it
 */
public record NoteProblem(String source, String key, String message, String allowed) {

	@Override
	public String toString() {
		String suffix = (this.allowed.isEmpty()) ? "" : "; allowed: " + this.allowed;
		return this.source + ": " + this.key + ": " + this.message + suffix;
	}

}
