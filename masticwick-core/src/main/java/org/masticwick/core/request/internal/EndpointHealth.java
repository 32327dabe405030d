package org.masticwick.core.request.internal;

import org.masticwick.core.request.StartOutcome;

/**
 * Keeps the recent results of one endpoint and, once it is ejected, when it is tried
 * again. An ejected endpoint comes back by several probes, one task at a time.
 */
final class EndpointHealth {

	private static final double MEMORY_PER_SAMPLE = 0.9;

	private static final double SLOWNESS_WEIGHT = 0.2;

	private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;

	private static final int MAX_GROWTH_COUNT = 3;

	private static final int GROWTH_BITS = 2;

	private static final int PROBE_COUNT = 3;

	private double resultCount;

	private double failureCount;

	private int slownessSampleCount;

	private double logSlowness;

	private int unconnectedCount;

	private int ejectionCount;

	private boolean ejected;

	private boolean probing;

	private int passedProbeCount;

	private long untilNanos;

	/**
	 * Takes in what came of a start.
	 * @param kind what came of it
	 * @param slowness the run time by what is usual
	 */
	void add(StartOutcome.Kind kind, double slowness) {
		this.unconnectedCount = (kind == StartOutcome.Kind.NOT_CONNECTED) ? (this.unconnectedCount + 1) : 0;
		if (kind.notStarted() || kind == StartOutcome.Kind.CANCELLED) {
			return;
		}
		boolean succeeded = (kind == StartOutcome.Kind.SUCCEEDED);
		this.resultCount = this.resultCount * MEMORY_PER_SAMPLE + 1;
		this.failureCount = this.failureCount * MEMORY_PER_SAMPLE + (succeeded ? 0 : 1);
		if (succeeded) {
			this.slownessSampleCount++;
			this.logSlowness += SLOWNESS_WEIGHT * (Math.log(slowness) - this.logSlowness);
		}
	}

	/**
	 * Ejects the endpoint, each time for longer.
	 * @param nowNanos the time
	 */
	void eject(long nowNanos) {
		this.ejected = true;
		this.probing = false;
		this.passedProbeCount = 0;
		this.untilNanos = nowNanos + (FIRST_EJECTION_NANOS << (GROWTH_BITS * this.ejectionCount));
		this.ejectionCount = Math.min(MAX_GROWTH_COUNT, this.ejectionCount + 1);
	}

	/**
	 * Takes in that a probe was started.
	 */
	void probeStarted() {
		this.probing = true;
	}

	/**
	 * Takes in what came of a probe.
	 * @param passed whether the endpoint did well
	 * @param nowNanos the time
	 */
	void probeEnded(boolean passed, long nowNanos) {
		this.probing = false;
		if (!passed) {
			eject(nowNanos);
			return;
		}
		this.passedProbeCount++;
		if (this.passedProbeCount >= PROBE_COUNT) {
			restore();
		}
	}

	/**
	 * Takes in that a probe showed nothing, so that another one may follow.
	 */
	void probeVoid() {
		this.probing = false;
	}

	/**
	 * Returns whether a probe should be started.
	 * @param nowNanos the time
	 * @return {@code true} if so
	 */
	boolean probeDue(long nowNanos) {
		return this.ejected && !this.probing && nowNanos >= this.untilNanos;
	}

	boolean ejected() {
		return this.ejected;
	}

	long untilNanos() {
		return this.untilNanos;
	}

	double resultCount() {
		return this.resultCount;
	}

	double failureCount() {
		return this.failureCount;
	}

	int unconnectedCount() {
		return this.unconnectedCount;
	}

	int slownessSampleCount() {
		return this.slownessSampleCount;
	}

	double logSlowness() {
		return this.logSlowness;
	}

	private void restore() {
		this.ejected = false;
		this.resultCount = 0;
		this.failureCount = 0;
		this.slownessSampleCount = 0;
		this.logSlowness = 0;
		this.unconnectedCount = 0;
		this.ejectionCount = Math.max(0, this.ejectionCount - 1);
	}

}
