package org.masticwick.platform;

/**
 * Tells a publisher what became of a release note.
 *
 * @param status what became of it
 * @param version the version that the note made, or that it was rejected at; 0 while
 * pending
 * @param reason why the note was rejected, or why nothing is known yet; empty if accepted
 */
public record PublishResult(Status status, long version, String reason) {

	static PublishResult pending(String reason) {
		return new PublishResult(Status.PENDING, 0, reason);
	}

	/**
	 * Lists what can become of a note.
	 */
	public enum Status {

		/** The note was read back as accepted. */
		ACCEPTED,

		/** The note was read back as rejected; it has no effect. */
		REJECTED,

		/** The note was not read back in time; publishing it again gives the verdict. */
		PENDING

	}

}
