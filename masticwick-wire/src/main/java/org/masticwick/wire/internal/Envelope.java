package org.masticwick.wire.internal;

import org.masticwick.wire.PeerMessage;

/**
 * Holds a message with what routes it on its connection.
 *
 * @param role whether the message asks, answers or neither
 * @param correlationId the number that an answer shares with its request, 0 if neither
 * @param kindNumber the number of the kind of message
 * @param message the message, or {@code null} if it could not be read
 * @param problem why the message could not be read, or {@code null} if it was
 */
record Envelope(Role role, long correlationId, int kindNumber, PeerMessage message, Problem problem) {

	static Envelope of(Role role, long correlationId, PeerMessage message) {
		return new Envelope(role, correlationId, MessageKind.of(message).number(), message, null);
	}

	/**
	 * Tells what a message is for.
	 */
	enum Role {

		/** Has no answer. */
		ONE_WAY,

		/** Wants an answer. */
		REQUEST,

		/** Is an answer. */
		ANSWER

	}

	/**
	 * Tells why a message was not read.
	 */
	enum Problem {

		/** The kind of message is not known here. */
		UNKNOWN_KIND,

		/** The fields of the message are wrong. */
		MALFORMED

	}

}
