package org.masticwick.wire;

import java.util.concurrent.CompletableFuture;

import org.masticwick.core.process.HostAddress;

/**
 * Exchanges messages between this entry host and its peers. Implementations are
 * thread-safe, and no method blocks except {@link #close()}.
 */
public interface PeerTransport extends AutoCloseable {

	/**
	 * Returns the address at which peers reach this host.
	 * @return the address, with the port that the system chose if the settings specify
	 * none
	 */
	HostAddress localAddress();

	/**
	 * Sends a request. The time until the answer is not limited; the call fails when the
	 * connection is closed or its idle timeout expires.
	 * @param peer the address of the peer
	 * @param request the request
	 * @return the answer, which may be an {@link PeerMessage.ErrorAnswer}; fails with a
	 * {@link PeerException} that is not wrapped in another exception
	 */
	CompletableFuture<PeerMessage> call(HostAddress peer, PeerMessage request);

	/**
	 * Sends a message that has no answer, on a best-effort basis. It is dropped when the
	 * connection can't be opened or its outbound buffer is full.
	 * @param peer the address of the peer
	 * @param message the message
	 */
	void send(HostAddress peer, PeerMessage message);

	/**
	 * Replaces the connection to a peer, as messages on it don't arrive. The pending
	 * calls on it fail. Does nothing if the connection is younger than the idle timeout,
	 * or if the transport does not support it.
	 * @param peer the address of the peer
	 */
	default void reconnect(HostAddress peer) {
	}

	/**
	 * Returns the counts of messages and bytes since the transport was opened.
	 * @return the counters
	 */
	TrafficCounters traffic();

	/**
	 * Closes the listener and all connections; pending calls fail.
	 */
	@Override
	void close();

}
