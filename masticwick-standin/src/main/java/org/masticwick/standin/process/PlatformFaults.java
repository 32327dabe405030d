package org.masticwick.standin.process;

/**
 * Body of {@code POST /admin/faults}: the faults of the platform to set or clear. A field
 * that is {@code null} leaves its fault unchanged.
 *
 * @param down whether every request for the log or the host list gets 503
 * @param blackhole whether requests and responses are held back until this is cleared,
 * and then processed
 * @param appendDelayMs the duration of an append, in milliseconds
 * @param loseReplies the number of upcoming appends to commit without a response; the
 * connection is closed instead
 * @param hostListLagMs the delay until a change of the host list becomes visible, in
 * milliseconds
 * @param stream the name of the stream that {@code truncateTo} and {@code expireBefore}
 * apply to; {@code site} if {@code null}
 * @param truncateTo the new end offset of the stream, whose later records are removed
 * @param expireBefore the new begin offset of the stream, whose earlier records are
 * removed
 */
record PlatformFaults(Boolean down, Boolean blackhole, Long appendDelayMs, Integer loseReplies, Long hostListLagMs,
		String stream, Long truncateTo, Long expireBefore) {

	private static final String DEFAULT_STREAM = "site";

	/**
	 * Fills in the default stream.
	 */
	PlatformFaults {
		stream = (stream != null) ? stream : DEFAULT_STREAM;
	}

}
