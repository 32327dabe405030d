package org.masticwick.cli.load;

/**
 * Describes a load run.
 *
 * @param name what the run is called in reports
 * @param seed the seed of everything that is drawn
 * @param mix the name of the mix
 * @param pattern how arrivals are spread
 * @param durationMillis how long jobs are sent, in milliseconds
 * @param warmupMillis how long response times are left out at the start, in milliseconds
 * @param ratePerSecond how many jobs are sent a second; 0 to follow the load
 * @param loadFraction the offered work as a fraction of the slots; used without a rate
 * @param slotCount the slots that serve the run
 * @param deadlineMillis the deadline of each job, in milliseconds
 * @param urgentFraction how many jobs are urgent
 * @param resubmitFraction how many jobs are sent a second time while they run
 * @param cancelWaveIntervalMillis how often a wave of cancellations comes, in
 * milliseconds; 0 for never
 * @param cancelWaveFraction how many of the running jobs a wave cancels
 * @param teamCount how many teams submit
 */
record LoadOptions(String name, long seed, String mix, ArrivalPattern pattern, long durationMillis, long warmupMillis,
		double ratePerSecond, double loadFraction, int slotCount, long deadlineMillis, double urgentFraction,
		double resubmitFraction, long cancelWaveIntervalMillis, double cancelWaveFraction, int teamCount) {

	/**
	 * Returns these options with another number of slots.
	 * @param count the number; 0 to keep it
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
