package org.masticwick.cli.request;

import java.time.Duration;

/**
 * Tells how a client behaves.
 *
 * @param ticketBlockCount how many tickets are fetched at once
 * @param pollInterval how long one request waits for an answer before it is made again
 * @param responseMargin how much longer than asked an answer may take before the
 * connection counts as lost
 * @param attemptCountMax how often a job is sent under its ticket at most
 * @param refusalRetryCountMax how often a refused job is sent again under a new ticket
 * @param seed the seed of the jitter
 */
public record JobClientOptions(int ticketBlockCount, Duration pollInterval, Duration responseMargin,
		int attemptCountMax, int refusalRetryCountMax, long seed) {

	/** Options for a caller with few jobs. */
	public static final JobClientOptions DEFAULT = new JobClientOptions(1, Duration.ofSeconds(20),
			Duration.ofSeconds(3), 8, 3, 1);

	/**
	 * Returns these options with another size of blocks.
	 * @param count how many tickets are fetched at once
	 * @return the options
	 */
	public JobClientOptions withTicketBlockCount(int count) {
		return new JobClientOptions(count, this.pollInterval, this.responseMargin, this.attemptCountMax,
				this.refusalRetryCountMax, this.seed);
	}

	/**
	 * Returns these options with another number of retries after refusals.
	 * @param count how often a refused job is sent again
	 * @return the options
	 */
	public JobClientOptions withRefusalRetryCountMax(int count) {
		return new JobClientOptions(this.ticketBlockCount, this.pollInterval, this.responseMargin, this.attemptCountMax,
				count, this.seed);
	}

	/**
	 * Returns these options with another seed.
	 * @param seed the seed of the jitter
	 * @return the options
	 */
	public JobClientOptions withSeed(long seed) {
		return new JobClientOptions(this.ticketBlockCount, this.pollInterval, this.responseMargin, this.attemptCountMax,
				this.refusalRetryCountMax, seed);
	}

}
