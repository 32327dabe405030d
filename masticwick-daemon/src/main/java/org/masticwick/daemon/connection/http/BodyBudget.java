package org.masticwick.daemon.connection.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory that bodies of all connections of a server take together, from their
 * first byte until their request is answered.
 */
final class BodyBudget {

	private final long limitBytes;

	private final AtomicLong heldBytes = new AtomicLong();

	BodyBudget(long limitBytes) {
		this.limitBytes = limitBytes;
	}

	boolean take(long bytes) {
		if (this.heldBytes.addAndGet(bytes) <= this.limitBytes) {
			return true;
		}
		this.heldBytes.addAndGet(-bytes);
		return false;
	}

	void give(long bytes) {
		this.heldBytes.addAndGet(-bytes);
	}

}
