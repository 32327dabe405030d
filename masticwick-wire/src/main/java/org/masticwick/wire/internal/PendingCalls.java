package org.masticwick.wire.internal;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;

/**
 * Calls on one connection that wait for their answers.
 */
final class PendingCalls {

	private final Map<Long, CompletableFuture<PeerMessage>> answersById = new ConcurrentHashMap<>();

	private final AtomicLong lastCorrelationId = new AtomicLong();

	private final AtomicInteger pendingCount = new AtomicInteger();

	private final int maxPendingCount;

	PendingCalls(int maxPendingCount) {
		this.maxPendingCount = maxPendingCount;
	}

	/**
	 * Registers a call.
	 * @param answer the future that the answer completes
	 * @return the correlation id
	 * @throws PeerException if too many calls are pending
	 */
	long add(CompletableFuture<PeerMessage> answer) {
		if (this.pendingCount.incrementAndGet() > this.maxPendingCount) {
			this.pendingCount.decrementAndGet();
			throw new PeerException("Too many calls are pending on the connection", null, false);
		}
		long correlationId = this.lastCorrelationId.incrementAndGet();
		this.answersById.put(correlationId, answer);
		return correlationId;
	}

	boolean isEmpty() {
		return this.answersById.isEmpty();
	}

	void complete(long correlationId, PeerMessage answer) {
		CompletableFuture<PeerMessage> pendingAnswer = remove(correlationId);
		if (pendingAnswer != null) {
			pendingAnswer.complete(answer);
		}
	}

	void fail(long correlationId, PeerException error) {
		CompletableFuture<PeerMessage> pendingAnswer = remove(correlationId);
		if (pendingAnswer != null) {
			pendingAnswer.completeExceptionally(error);
		}
	}

	void failAll(PeerException error) {
		List.copyOf(this.answersById.keySet()).forEach((correlationId) -> fail(correlationId, error));
	}

	private CompletableFuture<PeerMessage> remove(long correlationId) {
		CompletableFuture<PeerMessage> pendingAnswer = this.answersById.remove(correlationId);
		if (pendingAnswer != null) {
			this.pendingCount.decrementAndGet();
		}
		return pendingAnswer;
	}

}
