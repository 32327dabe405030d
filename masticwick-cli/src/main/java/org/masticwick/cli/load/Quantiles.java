package org.masticwick.cli.load;

import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Summarizes a distribution.
 *
 * @param count how many values it has
 * @param mean the mean
 * @param p50 the median
 * @param p90 the 90th percentile
 * @param p99 the 99th percentile
 * @param p999 the 99.9th percentile
 * @param max the greatest value
 * @param curve points of percentile and value, for plots
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
	 * @param histogram the histogram
	 * @param unit how much one of its counts stands for
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
