package org.masticwick.cli.request;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what a client did besides first attempts.
 */
public final class ClientCounters {

	private final LongAdder lostConnections = new LongAdder();

	private final LongAdder resubmissions = new LongAdder();

	private final LongAdder refusalRetries = new LongAdder();

	void countLostConnection() {
		this.lostConnections.increment();
	}

	void countResubmission() {
		this.resubmissions.increment();
	}

	void countRefusalRetry() {
		this.refusalRetries.increment();
	}

	/**
	 * Returns how many requests got no whole answer.
	 * @return the count
	 */
	public long lostConnectionCount() {
		return this.lostConnections.sum();
	}

	/**
	 * Returns how often a job was sent again under its ticket.
	 * @return the count
	 */
	public long resubmissionCount() {
		return this.resubmissions.sum();
	}

	/**
	 * Returns how often a refused job was sent again under a new ticket.
	 * @return the count
	 */
	public long refusalRetryCount() {
		return this.refusalRetries.sum();
	}

}
