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
	 * It also receives the {@link PeerMessage.Hello} of each peer after the handshake of
	 * a connection that either side opened; no answer is expected for it.
	 * @param message the message
	 * @param sender the peer address of the sender, or {@code null} if it is unknown
	 * @return the answer; {@code null}, or a stage that completes with {@code null}, for
	 * no answer. A request without an answer is answered with
	 * {@link PeerErrorCodes#UNKNOWN_MESSAGE}
	 */
	CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress sender);

	/**
	 * Notifies the handler that a connection which this host had opened to a peer was
	 * closed, by the peer or by the idle timeout, but not because this host closed it as
	 * unused. It is called on a thread of the transport and must not block.
	 * @param peer the peer address
	 */
	default void disconnected(HostAddress peer) {
	}

}
