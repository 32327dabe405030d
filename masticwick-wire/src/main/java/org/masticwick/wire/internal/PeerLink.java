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
 * Keeps one open connection to a peer, opened when it is first needed and again when it
 * was lost. Failed attempts are followed by a pause that grows, in which calls fail at
 * once.
 */
public final class PeerLink {

	private static final int MAX_DOUBLINGS = 16;

	private static final int MAX_WAITING_COUNT = 64;

	private final HostAddress target;

	private final PeerTransportSettings settings;

	private final Function<HostAddress, CompletableFuture<PeerConnection>> connector;

	private final AtomicReference<CompletableFuture<PeerConnection>> current = new AtomicReference<>();

	private volatile int failureCount;

	private volatile long retryAtNanos;

	/**
	 * Creates a link that is not open yet.
	 * @param target the peer
	 * @param settings the settings
	 * @param connector opens connections
	 */
	PeerLink(HostAddress target, PeerTransportSettings settings,
			Function<HostAddress, CompletableFuture<PeerConnection>> connector) {
		this.target = target;
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
				relay(connection.call(request), result);
			}
		});
		return result;
	}

	/**
	 * Sends a message that has no answer, if the link is open or opens.
	 * @param message the message
	 */
	public void send(PeerMessage message) {
		CompletableFuture<PeerConnection> connection = connection();
		if (connection.isDone() || connection.getNumberOfDependents() < MAX_WAITING_COUNT) {
			connection.thenAccept((open) -> open.send(message));
		}
	}

	/**
	 * Returns whether the link has an open connection or is opening one.
	 * @return {@code true} if it does
	 */
	public boolean isInUse() {
		CompletableFuture<PeerConnection> seen = this.current.get();
		return seen != null && !isOver(seen);
	}

	private CompletableFuture<PeerConnection> connection() {
		CompletableFuture<PeerConnection> seen = this.current.get();
		if (seen != null && !isOver(seen)) {
			return seen;
		}
		if (this.failureCount > 0 && System.nanoTime() - this.retryAtNanos < 0) {
			return CompletableFuture
				.failedFuture(new PeerException("Peer " + this.target + " could not be reached", null, false));
		}
		CompletableFuture<PeerConnection> fresh = new CompletableFuture<>();
		if (!this.current.compareAndSet(seen, fresh)) {
			return connection();
		}
		this.connector.apply(this.target).whenComplete((connection, error) -> end(fresh, connection, error));
		return fresh;
	}

	private void end(CompletableFuture<PeerConnection> fresh, PeerConnection connection, Throwable error) {
		if (error == null) {
			this.failureCount = 0;
			fresh.complete(connection);
			return;
		}
		int failures = Math.min(this.failureCount + 1, MAX_DOUBLINGS);
		this.retryAtNanos = System.nanoTime() + backoffNanos(failures);
		this.failureCount = failures;
		Throwable cause = (error.getCause() != null) ? error.getCause() : error;
		fresh.completeExceptionally(
				new PeerException("Peer " + this.target + " could not be reached: " + cause, cause, false));
	}

	private long backoffNanos(int failures) {
		long ceilingMillis = Math.min(this.settings.maxBackoffMillis(),
				this.settings.minBackoffMillis() << (failures - 1));
		long millis = ThreadLocalRandom.current().nextLong(ceilingMillis / 2, ceilingMillis + 1);
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static boolean isOver(CompletableFuture<PeerConnection> attempt) {
		return attempt.isCompletedExceptionally() || (attempt.isDone() && !attempt.join().isOpen());
	}

	private static void relay(CompletableFuture<PeerMessage> from, CompletableFuture<PeerMessage> to) {
		from.whenComplete((answer, error) -> {
			if (error != null) {
				to.completeExceptionally(error);
			}
			else {
				to.complete(answer);
			}
		});
	}

}
