package org.masticwick.wire;

import org.masticwick.wire.internal.MessageCodec;

/**
 * Tells how large messages are, for those who have to keep to a budget of bytes.
 */
public final class MessageSize {

	private MessageSize() {
	}

	/**
	 * Returns how many bytes a message without an answer takes on the wire.
	 * @param message the message
	 * @return the size in bytes, with the length in front of the message
	 */
	public static int frameBytes(PeerMessage message) {
		return MessageCodec.frameBytes(message);
	}

}
