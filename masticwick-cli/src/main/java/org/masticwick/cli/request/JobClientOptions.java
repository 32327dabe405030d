package org.masticwick.cli.request;

import java.time.Duration;

/**
 * Settings of a {@link JobClient}.
 *
 * @param ticketBlockCount the number of tickets fetched per request
 * @param pollInterval how long the host holds one request open while the job runs, before
 * the client polls again
 * @param responseMargin the time that a response may take beyond the requested wait
 * before the connection counts as lost
 * @param attemptCountMax the maximum number of submissions under one ticket
 * @param refusalRetryCountMax the maximum number of resubmissions of a refused job, each
 * under a new ticket
 * @param seed the seed of the backoff jitter
 */
public record JobClientOptions(int ticketBlockCount, Duration pollInterval, Duration responseMargin,
		int attemptCountMax, int refusalRetryCountMax, long seed) {

	/** Settings for a caller with few jobs: tickets are fetched one by one. */
	public static final JobClientOptions DEFAULT = new JobClientOptions(1, Duration.ofSeconds(20),
			Duration.ofSeconds(3), 8, 3, 1);

	/**
	 * Returns these options with another number of tickets per request.
	 * @param count the number of tickets fetched per request
	 * @return the options
	 */
	public JobClientOptions withTicketBlockCount(int count) {
		return new JobClientOptions(count, this.pollInterval, this.responseMargin, this.attemptCountMax,
				this.refusalRetryCountMax, this.seed);
	}

	/**
	 * Returns these options with another maximum number of resubmissions after refusals.
	 * @param count the maximum number of resubmissions of a refused job
	 * @return the options
	 */
	public JobClientOptions withRefusalRetryCountMax(int count) {
		return new JobClientOptions(this.ticketBlockCount, this.pollInterval, this.responseMargin, this.attemptCountMax,
				count, this.seed);
	}

	/**
	 * Returns these options with another seed.
	 * @param seed the seed of the backoff jitter
	 * @return the options
	 */
	public JobClientOptions withSeed(long seed) {
		return new JobClientOptions(this.ticketBlockCount, this.pollInterval, this.responseMargin, this.attemptCountMax,
				this.refusalRetryCountMax, seed);
	}

}
