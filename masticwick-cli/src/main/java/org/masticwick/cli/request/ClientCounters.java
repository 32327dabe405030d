package org.masticwick.cli.request;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the failed requests and the retries of a {@link JobClient}.
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
	 * Returns the number of submission and poll requests that received no complete
	 * response.
	 * @return the count
	 */
	public long lostConnectionCount() {
		return this.lostConnections.sum();
	}

	/**
	 * Returns how often a job was resubmitted under the same ticket.
	 * @return the count
	 */
	public long resubmissionCount() {
		return this.resubmissions.sum();
	}

	/**
	 * Returns how often a refused job was resubmitted under a new ticket.
	 * @return the count
	 */
	public long refusalRetryCount() {
		return this.refusalRetries.sum();
	}

}
