package org.masticwick.cli.load;

/**
 * Options of a load run.
 *
 * @param name the name of the run in reports
 * @param seed the seed of all random choices
 * @param mix the name of the {@link WorkloadMix}
 * @param pattern the distribution of arrival times
 * @param durationMillis the length of the period in which jobs are sent, in milliseconds
 * @param warmupMillis the length of the initial period excluded from response times, send
 * lags and goodput, in milliseconds
 * @param ratePerSecond the number of jobs sent per second; 0 to derive it from
 * {@code loadFraction}
 * @param loadFraction the offered work as a fraction of the slots; ignored if
 * {@code ratePerSecond} is positive
 * @param slotCount the number of slots that serve the run
 * @param deadlineMillis the deadline of each job, in milliseconds
 * @param urgentFraction the fraction of jobs that are urgent
 * @param resubmitFraction the fraction of jobs that are submitted again under the same
 * ticket after a short delay
 * @param cancelWaveIntervalMillis the interval between waves of cancellations, in
 * milliseconds; 0 disables them
 * @param cancelWaveFraction the fraction of the unanswered jobs that a wave cancels
 * @param teamCount the number of teams that submit jobs
 */
record LoadOptions(String name, long seed, String mix, ArrivalPattern pattern, long durationMillis, long warmupMillis,
		double ratePerSecond, double loadFraction, int slotCount, long deadlineMillis, double urgentFraction,
		double resubmitFraction, long cancelWaveIntervalMillis, double cancelWaveFraction, int teamCount) {

	/**
	 * Returns a copy of these options with another number of slots.
	 * @param count the number of slots; 0 to return these options unchanged
	 * @return the options
	 */
	LoadOptions withSlotCount(int count) {
		if (count == 0) {
			return this;
		}
		return new LoadOptions(this.name, this.seed, this.mix, this.pattern, this.durationMillis, this.warmupMillis,
				this.ratePerSecond, this.loadFraction, count, this.deadlineMillis, this.urgentFraction,
				this.resubmitFraction, this.cancelWaveIntervalMillis, this.cancelWaveFraction, this.teamCount);
	}

}
