package org.masticwick.wire;

import org.masticwick.wire.internal.MessageCodec;

/**
 * Computes the encoded size of messages, for callers that keep to a byte budget.
 */
public final class MessageSize {

	private MessageSize() {
	}

	/**
	 * Returns the size of a message without an answer on the wire.
	 * @param message the message
	 * @return the size in bytes, including the length field before the message
	 */
	public static int frameBytes(PeerMessage message) {
		return MessageCodec.frameBytes(message);
	}

}
