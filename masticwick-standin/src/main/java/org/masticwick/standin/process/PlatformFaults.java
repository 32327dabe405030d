package org.masticwick.standin.process;

/**
 * Is a request to change the faults of the platform; what is {@code null} stays.
 *
 * @param down whether every request gets 503
 * @param blackhole whether requests hang until this is cleared; then they are served
 * @param appendDelayMs how long a synced append takes, in milliseconds
 * @param loseReplies how many of the next appends take effect without an answer
 * @param hostListLagMs how far the list of hosts lags behind, in milliseconds
 * @param stream the stream for the fields below; {@code site} if {@code null}
 * @param truncateTo the new end offset of the stream
 * @param expireBefore the new begin offset of the stream
 */
record PlatformFaults(Boolean down, Boolean blackhole, Long appendDelayMs, Integer loseReplies, Long hostListLagMs,
		String stream, Long truncateTo, Long expireBefore) {

	private static final String DEFAULT_STREAM = "site";

	/**
	 * Fills in the stream.
	 */
	PlatformFaults {
		stream = (stream != null) ? stream : DEFAULT_STREAM;
	}

}
