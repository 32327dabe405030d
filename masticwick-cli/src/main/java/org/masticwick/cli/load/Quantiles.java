package org.masticwick.cli.load;

import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Summary of a distribution of measured values.
 *
 * @param count the number of values
 * @param mean the arithmetic mean
 * @param p50 the median
 * @param p90 the 90th percentile
 * @param p99 the 99th percentile
 * @param p999 the 99.9th percentile
 * @param max the maximum
 * @param curve pairs of percentile (0 to 100) and value, for plots
 */
record Quantiles(long count, double mean, double p50, double p90, double p99, double p999, double max,
		List<double[]> curve) {

	private static final double P50 = 50;

	private static final double P90 = 90;

	private static final double P99 = 99;

	private static final double P999 = 99.9;

	private static final int TICKS_PER_HALF_DISTANCE = 5;

	/**
	 * Summarizes a histogram.
	 * @param histogram the histogram of integer values
	 * @param unit the factor that converts an integer value of the histogram to the unit
	 * of the summary
	 * @return the summary
	 */
	static Quantiles of(Histogram histogram, double unit) {
		List<double[]> curve = new ArrayList<>();
		histogram.percentiles(TICKS_PER_HALF_DISTANCE)
			.forEach((point) -> curve
				.add(new double[] { point.getPercentileLevelIteratedTo(), point.getValueIteratedTo() * unit }));
		return new Quantiles(histogram.getTotalCount(), histogram.getMean() * unit,
				histogram.getValueAtPercentile(P50) * unit, histogram.getValueAtPercentile(P90) * unit,
				histogram.getValueAtPercentile(P99) * unit, histogram.getValueAtPercentile(P999) * unit,
				histogram.getMaxValue() * unit, curve);
	}

}
