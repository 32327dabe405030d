package org.masticwick.cli.load;

/**
 * Distributes the arrival times of jobs over the duration of a load run.
 */
enum ArrivalPattern {

	/**
	 * Uniformly distributed arrival times, which approximate a Poisson process at a
	 * constant rate.
	 */
	STEADY {

		@Override
		double toRunFraction(double uniformSample) {
			return uniformSample;
		}

	},

	/**
	 * Four equal cycles; each starts with a burst that puts four tenths of the arrivals
	 * of the cycle into a tenth of its time.
	 */
	BURST {

		@Override
		double toRunFraction(double uniformSample) {
			double scaled = uniformSample * BURST_COUNT;
			double cycle = Math.floor(scaled);
			double cycleSample = scaled - cycle;
			double cycleFraction = (cycleSample < BURST_ARRIVAL_FRACTION)
					? cycleSample / BURST_ARRIVAL_FRACTION * BURST_TIME_FRACTION
					: BURST_TIME_FRACTION + (cycleSample - BURST_ARRIVAL_FRACTION) / (1 - BURST_ARRIVAL_FRACTION)
							* (1 - BURST_TIME_FRACTION);
			return (cycle + cycleFraction) / BURST_COUNT;
		}

	};

	private static final double BURST_COUNT = 4;

	private static final double BURST_ARRIVAL_FRACTION = 0.4;

	private static final double BURST_TIME_FRACTION = 0.1;

	/**
	 * Maps a uniformly distributed sample to an arrival time.
	 * @param uniformSample a sample from 0 (inclusive) to 1 (exclusive)
	 * @return the arrival time as a fraction of the duration of the run, from 0
	 * (inclusive) to 1 (exclusive)
	 */
	abstract double toRunFraction(double uniformSample);

}
