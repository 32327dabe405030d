package org.masticwick.wire.internal;

import org.masticwick.wire.PeerMessage;

/**
 * Message with the data that matches it to its request or answer on a connection.
 *
 * @param role whether the message is a request, an answer or neither
 * @param correlationId the number that an answer shares with its request, 0 if the
 * message is neither
 * @param kindNumber the number of the message kind
 * @param message the message, or {@code null} if it could not be decoded
 * @param problem the reason why the message could not be decoded, or {@code null} if it
 * was decoded
 */
record Envelope(Role role, long correlationId, int kindNumber, PeerMessage message, Problem problem) {

	static Envelope of(Role role, long correlationId, PeerMessage message) {
		return new Envelope(role, correlationId, MessageKind.of(message).number(), message, null);
	}

	/**
	 * Role of a message in an exchange.
	 */
	enum Role {

		/** The message has no answer. */
		ONE_WAY,

		/** The message expects an answer. */
		REQUEST,

		/** The message answers a request. */
		ANSWER

	}

	/**
	 * Reason why a message could not be decoded.
	 */
	enum Problem {

		/** This program does not support the message kind. */
		UNKNOWN_KIND,

		/** The fields of the message are missing or invalid. */
		MALFORMED

	}

}
