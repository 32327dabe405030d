package org.masticwick.core.request.internal;

import org.masticwick.core.request.StartOutcome;

/**
 * The recent results of one endpoint and, while it is ejected, the time of its next
 * probe. An ejected endpoint is reinstated after several successful probes, each of a
 * single task.
 */
final class EndpointHealth {

	private static final double DECAY_PER_SAMPLE = 0.9;

	private static final double SLOWNESS_SAMPLE_WEIGHT = 0.2;

	private static final long INITIAL_EJECTION_NANOS = 1_000_000_000L;

	private static final int MAX_EJECTION_BACKOFF_STEPS = 3;

	private static final int BACKOFF_SHIFT_BITS = 2;

	private static final int REQUIRED_PROBE_COUNT = 3;

	private double resultCount;

	private double failureCount;

	private int slownessSampleCount;

	private double logSlowness;

	private int consecutiveConnectFailureCount;

	private int ejectionBackoffSteps;

	private boolean ejected;

	private boolean probing;

	private int passedProbeCount;

	private long nextProbeNanos;

	/**
	 * Records the outcome of a start.
	 * @param kind the kind of outcome
	 * @param slowness the run time relative to the mean of its kind of task
	 */
	void recordOutcome(StartOutcome.Kind kind, double slowness) {
		this.consecutiveConnectFailureCount = (kind == StartOutcome.Kind.NOT_CONNECTED)
				? (this.consecutiveConnectFailureCount + 1) : 0;
		if (kind.notStarted() || kind == StartOutcome.Kind.CANCELLED) {
			return;
		}
		boolean succeeded = (kind == StartOutcome.Kind.SUCCEEDED);
		this.resultCount = this.resultCount * DECAY_PER_SAMPLE + 1;
		this.failureCount = this.failureCount * DECAY_PER_SAMPLE + (succeeded ? 0 : 1);
		if (succeeded) {
			this.slownessSampleCount++;
			this.logSlowness += SLOWNESS_SAMPLE_WEIGHT * (Math.log(slowness) - this.logSlowness);
		}
	}

	/**
	 * Ejects the endpoint. Each ejection lasts longer than the one before, up to a
	 * maximum.
	 * @param nowNanos the current time
	 */
	void eject(long nowNanos) {
		this.ejected = true;
		this.probing = false;
		this.passedProbeCount = 0;
		this.nextProbeNanos = nowNanos + (INITIAL_EJECTION_NANOS << (BACKOFF_SHIFT_BITS * this.ejectionBackoffSteps));
		this.ejectionBackoffSteps = Math.min(MAX_EJECTION_BACKOFF_STEPS, this.ejectionBackoffSteps + 1);
	}

	/**
	 * Records that a probe was started.
	 */
	void recordProbeStart() {
		this.probing = true;
	}

	/**
	 * Records the result of a probe.
	 * @param passed whether the probed task succeeded at an acceptable run time
	 * @param nowNanos the current time
	 */
	void recordProbeResult(boolean passed, long nowNanos) {
		this.probing = false;
		if (!passed) {
			eject(nowNanos);
			return;
		}
		this.passedProbeCount++;
		if (this.passedProbeCount >= REQUIRED_PROBE_COUNT) {
			reinstate();
		}
	}

	/**
	 * Discards a probe without a conclusive result, so that another one can be started.
	 */
	void discardProbe() {
		this.probing = false;
	}

	/**
	 * Returns whether the endpoint is ejected and its next probe is due.
	 * @param nowNanos the current time
	 * @return {@code true} if so
	 */
	boolean probeDue(long nowNanos) {
		return this.ejected && !this.probing && nowNanos >= this.nextProbeNanos;
	}

	boolean ejected() {
		return this.ejected;
	}

	long nextProbeNanos() {
		return this.nextProbeNanos;
	}

	double resultCount() {
		return this.resultCount;
	}

	double failureCount() {
		return this.failureCount;
	}

	int consecutiveConnectFailureCount() {
		return this.consecutiveConnectFailureCount;
	}

	int slownessSampleCount() {
		return this.slownessSampleCount;
	}

	double logSlowness() {
		return this.logSlowness;
	}

	private void reinstate() {
		this.ejected = false;
		this.resultCount = 0;
		this.failureCount = 0;
		this.slownessSampleCount = 0;
		this.logSlowness = 0;
		this.consecutiveConnectFailureCount = 0;
		this.ejectionBackoffSteps = Math.max(0, this.ejectionBackoffSteps - 1);
	}

}
