package org.masticwick.cli.version;

/**
 * A finding of a check of a release note.
 *
 * @param severity whether the note would be rejected, or has an entry without effect
 * @param entity the entity that the finding is about, such as {@code service:fitting}, or
 * the field of the note
 * @param message what is wrong, for humans
 */
public record NoteFinding(Severity severity, String entity, String message) {

	/**
	 * The severities of findings.
	 */
	public enum Severity {

		/** The note would be rejected. */
		ERROR,

		/**
		 * The note could be accepted, but something in it can't take effect or
		 * contradicts something else.
		 */
		WARNING

	}

}
