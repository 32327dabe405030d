package org.masticwick.wire;

import java.util.concurrent.CompletableFuture;

import org.masticwick.core.process.HostAddress;

/**
 * Carries messages between this entry host and its peers. Safe for several threads; no
 * method blocks, but for {@link #close()}.
 */
public interface PeerTransport extends AutoCloseable {

	/**
	 * Returns where peers reach this host.
	 * @return the address, with the port that the system chose if the settings left it
	 * open
	 */
	HostAddress localAddress();

	/**
	 * Sends a request. There is no limit on how long the answer takes; the call fails
	 * when the connection closes or goes silent.
	 * @param to the peer
	 * @param request the request
	 * @return the answer, which may be an {@link PeerMessage.ErrorAnswer}; fails with
	 * {@link PeerException}, never wrapped
	 */
	CompletableFuture<PeerMessage> call(HostAddress to, PeerMessage request);

	/**
	 * Sends a message that has no answer, if it can be sent now. It is dropped when the
	 * link can't be opened or its buffer is full.
	 * @param to the peer
	 * @param message the message
	 */
	void send(HostAddress to, PeerMessage message);

	/**
	 * Returns what was sent and received since the start.
	 * @return the counters
	 */
	TrafficCounters traffic();

	/**
	 * Closes the listener and all connections; calls under way fail.
	 */
	@Override
	void close();

}
