package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * What is known of a queue of a pool: the mean work of its jobs, the share of its work
 * that was refused lately, and whether its jobs are starting.
 */
final class QueueShare {

	/** The time in which a sample loses most of its weight, in milliseconds. */
	private static final double MEMORY_MILLIS = 1_000;

	/** The weight of a new sample in the moving average, which covers fifty samples. */
	private static final double SAMPLE_WEIGHT = 0.02;

	/**
	 * The time without a started job after which the next one is certainly admitted, in
	 * milliseconds.
	 */
	private static final long MAX_STARVED_MILLIS = 500;

	/**
	 * The time without a job after which earlier ones do not count as starved, in
	 * milliseconds.
	 */
	private static final long STARVATION_MEMORY_MILLIS = 5_000;

	private static final long UNSET = Long.MIN_VALUE;

	/** The largest share of refused work that counts, so that the cost is finite. */
	private static final double MAX_REFUSED_SHARE = 0.98;

	/** The jobs that the present selection may refuse. */
	private final List<PooledJob> candidates = new ArrayList<>();

	private int priority;

	private int sampleCount;

	private double meanWork;

	private double submittedWork;

	private double refusedWork;

	private long decayedMillis;

	private long starvedSinceMillis = UNSET;

	private double cost;

	QueueShare(int priority, long nowMillis) {
		this.priority = priority;
		this.decayedMillis = nowMillis;
	}

	void submitted(PooledJob job, long nowMillis) {
		long idleMillis = idleMillis(nowMillis);
		decay(nowMillis);
		this.priority = job.terms().priority();
		double work = job.totalWork();
		this.sampleCount++;
		this.meanWork += Math.max(SAMPLE_WEIGHT, 1.0 / this.sampleCount) * (work - this.meanWork);
		this.submittedWork += work;
		if (this.starvedSinceMillis == UNSET || idleMillis > STARVATION_MEMORY_MILLIS) {
			this.starvedSinceMillis = nowMillis;
		}
		else if (nowMillis - this.starvedSinceMillis >= MAX_STARVED_MILLIS) {
			this.starvedSinceMillis = nowMillis;
			job.keep();
		}
	}

	void started() {
		this.starvedSinceMillis = UNSET;
	}

	void refused(PooledJob job, long nowMillis) {
		decay(nowMillis);
		this.refusedWork += job.totalWork();
	}

	private void decay(long nowMillis) {
		double factor = Math.exp((this.decayedMillis - nowMillis) / MEMORY_MILLIS);
		this.decayedMillis = nowMillis;
		this.submittedWork *= factor;
		this.refusedWork *= factor;
	}

	/**
	 * Returns how long ago a job was submitted or refused.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the time in milliseconds
	 */
	long idleMillis(long nowMillis) {
		return nowMillis - this.decayedMillis;
	}

	int priority() {
		return this.priority;
	}

	double meanWork() {
		return this.meanWork;
	}

	/**
	 * Returns the work that was submitted and not refused in the last second or so.
	 * @return the work in thousandths of a core times milliseconds
	 */
	double admittedWork() {
		return Math.max(0, this.submittedWork - this.refusedWork);
	}

	/**
	 * Returns the share of the submitted work that was refused in the last second or so.
	 * @return the share, from 0 to less than 1
	 */
	double refusedShare() {
		double share = (this.submittedWork > 0) ? this.refusedWork / this.submittedWork : 0;
		return Math.min(MAX_REFUSED_SHARE, share);
	}

	double cost() {
		return this.cost;
	}

	void cost(double newCost) {
		this.cost = newCost;
	}

	List<PooledJob> candidates() {
		return this.candidates;
	}

}
