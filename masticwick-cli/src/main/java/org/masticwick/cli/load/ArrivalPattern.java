package org.masticwick.cli.load;

/**
 * Spreads arrivals over the time of a run.
 */
enum ArrivalPattern {

	/** The same rate all the time: Poisson arrivals. */
	STEADY {

		@Override
		double toRunFraction(double uniformSample) {
			return uniformSample;
		}

	},

	/** Four bursts, in which a tenth of the time takes four tenths of the arrivals. */
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
	 * Places an arrival.
	 * @param uniformSample a number drawn evenly from 0 to below 1
	 * @return the place in the run, from 0 to below 1
	 */
	abstract double toRunFraction(double uniformSample);

}
