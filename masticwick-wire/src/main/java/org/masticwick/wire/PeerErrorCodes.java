package org.masticwick.wire;

/**
 * Codes of {@link PeerMessage.ErrorAnswer} that the transport itself sends. Each of them
 * except {@link #INTERNAL} means that the request did not reach the handler or, for
 * {@link #UNKNOWN_MESSAGE}, that the handler returned no answer.
 */
public final class PeerErrorCodes {

	/** The two hosts have no protocol version in common. */
	public static final String INCOMPATIBLE_PROTOCOL = "incompatible-protocol";

	/** The answering host has not determined its own identity yet. */
	public static final String STARTING = "starting";

	/** The answering host does not support this type of request. */
	public static final String UNKNOWN_MESSAGE = "unknown-message";

	/** The request could not be decoded. */
	public static final String MALFORMED_MESSAGE = "malformed-message";

	/** Too many requests of this connection are being handled. */
	public static final String BUSY = "busy";

	/** The handler failed, and may have processed the request in part or in full. */
	public static final String INTERNAL = "internal";

	private PeerErrorCodes() {
	}

}
