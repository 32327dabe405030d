package org.masticwick.wire;

/**
 * Decides whether two entry hosts can communicate.
 */
public final class ProtocolVersion {

	/** The newest protocol version that this program implements. */
	public static final int CURRENT = 1;

	/** The oldest protocol version that this program accepts. */
	public static final int OLDEST = 1;

	private ProtocolVersion() {
	}

	/**
	 * Returns whether this program can communicate with a peer.
	 * @param hello the message in which the peer states its protocol versions
	 * @return {@code true} if each side accepts the version of the other
	 */
	public static boolean isCompatible(PeerMessage.Hello hello) {
		return hello.protocolVersion() >= OLDEST && hello.minProtocolVersion() <= CURRENT;
	}

}
