package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Orders the jobs with tasks to start: first those that can still be on time, by their
 * latest start time, then those that can only be late, by the time at which their answer
 * becomes useless. A started job is never moved to the late ones, because only complete
 * jobs are useful.
 */
final class JobQueue {

	private final TreeSet<PooledJob> onTime = new TreeSet<>(
			Comparator.comparingLong(PooledJob::latestStartMillis).thenComparingLong(PooledJob::sequence));

	private final TreeSet<PooledJob> late = new TreeSet<>(
			Comparator.comparingLong(PooledJob::latestUsefulMillis).thenComparingLong(PooledJob::sequence));

	void add(PooledJob job, long nowMillis) {
		if (isLate(job, nowMillis)) {
			this.late.add(job);
		}
		else {
			this.onTime.add(job);
		}
	}

	void remove(PooledJob job) {
		this.onTime.remove(job);
		this.late.remove(job);
	}

	boolean contains(PooledJob job) {
		return this.onTime.contains(job) || this.late.contains(job);
	}

	int size() {
		return this.onTime.size() + this.late.size();
	}

	/**
	 * Returns the jobs in the order in which they get free capacity.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return a copy
	 */
	List<PooledJob> inDispatchOrder(long nowMillis) {
		moveLateJobs(nowMillis);
		List<PooledJob> jobs = new ArrayList<>(size());
		jobs.addAll(this.onTime);
		jobs.addAll(this.late);
		return jobs;
	}

	/**
	 * Returns the work of the jobs ahead of a new job.
	 * @param latestStartMillis the latest start time of the new job, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the work in thousandths of a core times milliseconds
	 */
	double workAhead(long latestStartMillis, long nowMillis) {
		moveLateJobs(nowMillis);
		return this.onTime.stream()
			.takeWhile((job) -> job.latestStartMillis() <= latestStartMillis)
			.mapToDouble(PooledJob::readyWork)
			.sum();
	}

	/**
	 * Returns the work of all jobs.
	 * @return the work in thousandths of a core times milliseconds
	 */
	double work() {
		return this.onTime.stream().mapToDouble(PooledJob::readyWork).sum()
				+ this.late.stream().mapToDouble(PooledJob::readyWork).sum();
	}

	private void moveLateJobs(long nowMillis) {
		List<PooledJob> missed = this.onTime.stream()
			.takeWhile((job) -> job.latestStartMillis() < nowMillis)
			.filter((job) -> isLate(job, nowMillis))
			.toList();
		this.onTime.removeAll(missed);
		this.late.addAll(missed);
	}

	private static boolean isLate(PooledJob job, long nowMillis) {
		return !job.isStarted() && job.latestStartMillis() < nowMillis;
	}

}
