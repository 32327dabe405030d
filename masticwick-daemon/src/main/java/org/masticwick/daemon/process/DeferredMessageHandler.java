package org.masticwick.daemon.process;

import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessageHandler;

/**
 * Delegates to a message handler that is created after the transport, since the handler
 * needs the transport. Messages that arrive before are dropped: peers repeat their
 * reports, and a dropped request is answered as an unknown message.
 */
final class DeferredMessageHandler implements PeerMessageHandler {

	private final Supplier<PeerMessageHandler> target;

	DeferredMessageHandler(Supplier<PeerMessageHandler> target) {
		this.target = target;
	}

	@Override
	public CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress from) {
		PeerMessageHandler handler = this.target.get();
		return (handler != null) ? handler.handle(message, from) : null;
	}

	@Override
	public void disconnected(HostAddress peer) {
		PeerMessageHandler handler = this.target.get();
		if (handler != null) {
			handler.disconnected(peer);
		}
	}

}
