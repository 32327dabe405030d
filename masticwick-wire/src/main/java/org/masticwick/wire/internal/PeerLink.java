package org.masticwick.wire.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransportSettings;

/**
 * Maintains at most one open connection to a peer. The connection is opened on first use
 * and reopened after a loss. Each failed attempt is followed by an exponential backoff
 * delay, during which calls fail immediately.
 */
public final class PeerLink {

	/** Limits the exponent of the backoff delay, so that the shift does not overflow. */
	private static final int MAX_BACKOFF_DOUBLINGS = 16;

	/**
	 * Number of calls and messages waiting for the connection at which messages are
	 * dropped.
	 */
	private static final int MAX_WAITING_MESSAGE_COUNT = 64;

	private final HostAddress peerAddress;

	private final PeerTransportSettings settings;

	private final Function<HostAddress, CompletableFuture<PeerConnection>> connector;

	private final AtomicReference<CompletableFuture<PeerConnection>> currentConnection = new AtomicReference<>();

	private volatile int failureCount;

	private volatile long retryAtNanos;

	/**
	 * Creates a link that is not open yet.
	 * @param peerAddress the address of the peer
	 * @param settings the settings
	 * @param connector opens connections and completes the handshake
	 */
	PeerLink(HostAddress peerAddress, PeerTransportSettings settings,
			Function<HostAddress, CompletableFuture<PeerConnection>> connector) {
		this.peerAddress = peerAddress;
		this.settings = settings;
		this.connector = connector;
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @return the answer; fails with {@link PeerException}
	 */
	public CompletableFuture<PeerMessage> call(PeerMessage request) {
		CompletableFuture<PeerMessage> result = new CompletableFuture<>();
		connection().whenComplete((connection, error) -> {
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				propagate(connection.call(request), result);
			}
		});
		return result;
	}

	/**
	 * Sends a message that has no answer. It is dropped if the connection can't be opened
	 * or too many messages are waiting for it.
	 * @param message the message
	 */
	public void send(PeerMessage message) {
		CompletableFuture<PeerConnection> connection = connection();
		if (connection.isDone() || connection.getNumberOfDependents() < MAX_WAITING_MESSAGE_COUNT) {
			connection.thenAccept((openConnection) -> openConnection.send(message));
		}
	}

	/**
	 * Returns whether the link has an open connection or is opening one.
	 * @return {@code true} if the connection is open or being opened
	 */
	public boolean isInUse() {
		CompletableFuture<PeerConnection> existingConnection = this.currentConnection.get();
		return existingConnection != null && !isClosedOrFailed(existingConnection);
	}

	/**
	 * Closes the open connection if it is older than the idle timeout.
	 */
	public void closeOldConnection() {
		CompletableFuture<PeerConnection> existingConnection = this.currentConnection.get();
		if (existingConnection != null && existingConnection.isDone() && !isClosedOrFailed(existingConnection)
				&& existingConnection.join().isOlderThan(this.settings.idleTimeoutMillis())) {
			existingConnection.join().closeSilently();
		}
	}

	private CompletableFuture<PeerConnection> connection() {
		CompletableFuture<PeerConnection> existingConnection = this.currentConnection.get();
		if (existingConnection != null && !isClosedOrFailed(existingConnection)) {
			return existingConnection;
		}
		if (this.failureCount > 0 && System.nanoTime() - this.retryAtNanos < 0) {
			return CompletableFuture.failedFuture(new PeerException(
					"Peer " + this.peerAddress + " is unreachable; the next connection attempt is delayed", null,
					false));
		}
		CompletableFuture<PeerConnection> newConnection = new CompletableFuture<>();
		if (!this.currentConnection.compareAndSet(existingConnection, newConnection)) {
			return connection();
		}
		this.connector.apply(this.peerAddress)
			.whenComplete((connection, error) -> completeAttempt(newConnection, connection, error));
		return newConnection;
	}

	private void completeAttempt(CompletableFuture<PeerConnection> newConnection, PeerConnection connection,
			Throwable error) {
		if (error == null) {
			this.failureCount = 0;
			newConnection.complete(connection);
			return;
		}
		int consecutiveFailures = Math.min(this.failureCount + 1, MAX_BACKOFF_DOUBLINGS);
		this.retryAtNanos = System.nanoTime() + backoffNanos(consecutiveFailures);
		this.failureCount = consecutiveFailures;
		Throwable cause = (error.getCause() != null) ? error.getCause() : error;
		newConnection.completeExceptionally(
				new PeerException("Peer " + this.peerAddress + " is unreachable: " + cause, cause, false));
	}

	private long backoffNanos(int consecutiveFailures) {
		long maxDelayMillis = Math.min(this.settings.maxBackoffMillis(),
				this.settings.minBackoffMillis() << (consecutiveFailures - 1));
		long delayMillis = ThreadLocalRandom.current().nextLong(maxDelayMillis / 2, maxDelayMillis + 1);
		return TimeUnit.MILLISECONDS.toNanos(delayMillis);
	}

	private static boolean isClosedOrFailed(CompletableFuture<PeerConnection> connection) {
		return connection.isCompletedExceptionally() || (connection.isDone() && !connection.join().isOpen());
	}

	private static void propagate(CompletableFuture<PeerMessage> source, CompletableFuture<PeerMessage> destination) {
		source.whenComplete((answer, error) -> {
			if (error != null) {
				destination.completeExceptionally(error);
			}
			else {
				destination.complete(answer);
			}
		});
	}

}
