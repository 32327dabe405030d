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
 * Holds the calls under way on one connection until their answer comes.
 */
final class PendingCalls {

	private final Map<Long, CompletableFuture<PeerMessage>> calls = new ConcurrentHashMap<>();

	private final AtomicLong lastId = new AtomicLong();

	private final AtomicInteger count = new AtomicInteger();

	private final int maxCount;

	PendingCalls(int maxCount) {
		this.maxCount = maxCount;
	}

	/**
	 * Adds a call.
	 * @param answer what the answer completes
	 * @return the correlation id
	 * @throws PeerException if too many calls are under way
	 */
	long add(CompletableFuture<PeerMessage> answer) {
		if (this.count.incrementAndGet() > this.maxCount) {
			this.count.decrementAndGet();
			throw new PeerException("Too many calls are under way", null, false);
		}
		long id = this.lastId.incrementAndGet();
		this.calls.put(id, answer);
		return id;
	}

	boolean isEmpty() {
		return this.calls.isEmpty();
	}

	void complete(long id, PeerMessage answer) {
		CompletableFuture<PeerMessage> call = remove(id);
		if (call != null) {
			call.complete(answer);
		}
	}

	void fail(long id, PeerException error) {
		CompletableFuture<PeerMessage> call = remove(id);
		if (call != null) {
			call.completeExceptionally(error);
		}
	}

	void failAll(PeerException error) {
		List.copyOf(this.calls.keySet()).forEach((id) -> fail(id, error));
	}

	private CompletableFuture<PeerMessage> remove(long id) {
		CompletableFuture<PeerMessage> call = this.calls.remove(id);
		if (call != null) {
			this.count.decrementAndGet();
		}
		return call;
	}

}
