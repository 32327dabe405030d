package org.masticwick.daemon.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Learns how long tasks of a service and kind run, to tell when a connection has gone
 * silent.
 */
final class RunTimes {

	private static final double WEIGHT = 0.05;

	private static final double DEVIATION_COUNT = 8;

	private final Map<Key, Estimate> estimates = new ConcurrentHashMap<>();

	private final long minSilenceMillis;

	RunTimes(long minSilenceMillis) {
		this.minSilenceMillis = minSilenceMillis;
	}

	void observe(String service, String kind, long runMillis) {
		this.estimates.merge(new Key(service, kind), new Estimate(runMillis, runMillis / 2.0),
				(old, fresh) -> old.with(runMillis));
	}

	/**
	 * Returns how long to wait for the reply to a post before asking by task id.
	 * @param service the service
	 * @param kind the kind of task
	 * @return the time in milliseconds
	 */
	long silenceLimitMillis(String service, String kind) {
		Estimate estimate = this.estimates.get(new Key(service, kind));
		if (estimate == null) {
			return this.minSilenceMillis;
		}
		return Math.max(this.minSilenceMillis,
				Math.round(estimate.meanMillis() + DEVIATION_COUNT * estimate.deviationMillis()));
	}

	private record Key(String service, String kind) {

	}

	private record Estimate(double meanMillis, double deviationMillis) {

		Estimate with(long runMillis) {
			double error = runMillis - this.meanMillis;
			return new Estimate(this.meanMillis + WEIGHT * error,
					this.deviationMillis + WEIGHT * (Math.abs(error) - this.deviationMillis));
		}

	}

}
