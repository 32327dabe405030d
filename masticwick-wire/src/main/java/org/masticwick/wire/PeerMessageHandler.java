package org.masticwick.wire;

import java.util.concurrent.CompletionStage;

import org.masticwick.core.process.HostAddress;

/**
 * Handles the messages that peers send.
 */
@FunctionalInterface
public interface PeerMessageHandler {

	/**
	 * Handles one message. It is called on a thread of the transport and must not block.
	 * The {@link PeerMessage.Hello} of each peer that connects or is connected to is
	 * passed too, for information.
	 * @param message the message
	 * @param from the peer address of the sender, or {@code null} if it is not known
	 * @return the answer; {@code null}, or a stage that ends with {@code null}, for none.
	 * A request without an answer is answered with {@link PeerErrorCodes#UNKNOWN_MESSAGE}
	 */
	CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress from);

	/**
	 * Takes note that a connection that this host opened was closed by the peer, or went
	 * silent. It is called on a thread of the transport and must not block.
	 * @param peer the peer address
	 */
	default void disconnected(HostAddress peer) {
	}

}
