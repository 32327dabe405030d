package org.masticwick.platform;

/**
 * The result of publishing a release note.
 *
 * @param status the status of the note
 * @param version the number of the version that the note created, or that was active when
 * the note was rejected; 0 if pending
 * @param reason why the note was rejected, or why its verdict is still unknown; empty if
 * accepted
 */
public record PublishResult(Status status, long version, String reason) {

	static PublishResult pending(String reason) {
		return new PublishResult(Status.PENDING, 0, reason);
	}

	/**
	 * The statuses of a published note.
	 */
	public enum Status {

		/** The note was read back as accepted. */
		ACCEPTED,

		/** The note was read back as rejected; it has no effect. */
		REJECTED,

		/**
		 * The note was not read back in time; publishing it again returns the verdict.
		 */
		PENDING

	}

}
