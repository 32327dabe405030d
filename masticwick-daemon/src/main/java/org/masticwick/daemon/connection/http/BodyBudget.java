package org.masticwick.daemon.connection.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory for request bodies over all connections of a server. A body counts
 * from its first byte until its request is answered.
 */
final class BodyBudget {

	private final long limitBytes;

	private final AtomicLong reservedBytes = new AtomicLong();

	BodyBudget(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	boolean tryReserve(long bytes) {
		if (this.reservedBytes.addAndGet(bytes) <= this.limitBytes) {
			return true;
		}
		this.reservedBytes.addAndGet(-bytes);
		return false;
	}

	void release(long bytes) {
		this.reservedBytes.addAndGet(-bytes);
	}

}
