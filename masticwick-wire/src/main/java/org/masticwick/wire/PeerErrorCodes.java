package org.masticwick.wire;

/**
 * Codes of {@link PeerMessage.ErrorAnswer} that the transport itself gives. Each says
 * that the request did not reach the handler, but for {@link #INTERNAL}.
 */
public final class PeerErrorCodes {

	/** The two sides have no version of the protocol in common. */
	public static final String INCOMPATIBLE_PROTOCOL = "incompatible-protocol";

	/** The answering host does not know its own identity yet. */
	public static final String STARTING = "starting";

	/** The answering host does not know the type of the request. */
	public static final String UNKNOWN_MESSAGE = "unknown-message";

	/** The request could not be read. */
	public static final String MALFORMED_MESSAGE = "malformed-message";

	/** Too many requests of this peer are under way. */
	public static final String BUSY = "busy";

	/** The handler failed, and may have acted on the request. */
	public static final String INTERNAL = "internal";

	private PeerErrorCodes() {
	}

}
