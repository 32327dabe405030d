package org.masticwick.wire;

/**
 * Decides whether two entry hosts can talk to each other.
 */
public final class ProtocolVersion {

	/** The newest version of the protocol that this program speaks. */
	public static final int CURRENT = 1;

	/** The oldest version of the protocol that this program understands. */
	public static final int OLDEST = 1;

	private ProtocolVersion() {
	}

	/**
	 * Returns whether this program can talk to a peer.
	 * @param hello what the peer says of itself
	 * @return {@code true} if each side understands the other's version
	 */
	public static boolean isCompatible(PeerMessage.Hello hello) {
		return hello.protocolVersion() >= OLDEST && hello.minProtocolVersion() <= CURRENT;
	}

}
