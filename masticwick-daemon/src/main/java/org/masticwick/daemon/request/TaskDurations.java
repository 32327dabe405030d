package org.masticwick.daemon.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates how long tasks of each service and kind run, as an exponentially weighted
 * mean and mean deviation. The reply timeout of a run is derived from it.
 */
final class TaskDurations {

	private static final double SMOOTHING_FACTOR = 0.05;

	private static final double DEVIATION_COUNT = 8;

	private final Map<Key, Estimate> estimates = new ConcurrentHashMap<>();

	private final long minReplyTimeoutMillis;

	TaskDurations(long minReplyTimeoutMillis) {
		this.minReplyTimeoutMillis = minReplyTimeoutMillis;
	}

	void record(String service, String kind, long runMillis) {
		this.estimates.merge(new Key(service, kind), new Estimate(runMillis, runMillis / 2.0),
				(estimate, initialEstimate) -> estimate.updatedBy(runMillis));
	}

	/**
	 * Returns how long to wait for the reply to a posted task before looking the task up
	 * by its id.
	 * @param service the service
	 * @param kind the kind of task
	 * @return the timeout in milliseconds; the minimum if no run of the kind has been
	 * recorded
	 */
	long replyTimeoutMillis(String service, String kind) {
		Estimate estimate = this.estimates.get(new Key(service, kind));
		if (estimate == null) {
			return this.minReplyTimeoutMillis;
		}
		return Math.max(this.minReplyTimeoutMillis,
				Math.round(estimate.meanMillis() + DEVIATION_COUNT * estimate.deviationMillis()));
	}

	private record Key(String service, String kind) {

	}

	private record Estimate(double meanMillis, double deviationMillis) {

		Estimate updatedBy(long runMillis) {
			double errorMillis = runMillis - this.meanMillis;
			return new Estimate(this.meanMillis + SMOOTHING_FACTOR * errorMillis,
					this.deviationMillis + SMOOTHING_FACTOR * (Math.abs(errorMillis) - this.deviationMillis));
		}

	}

}
