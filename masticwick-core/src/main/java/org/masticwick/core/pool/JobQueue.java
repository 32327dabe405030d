package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Orders the jobs with tasks to start: first those that can still be on time, by their
 * latest start time, then those that can only be late, by the time at which their answer
 * becomes useless. A started job is never moved to the late ones, because only complete
 * jobs are useful; neither is a job that is kept so that its queue is not starved.
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
	 * @param urgentFirst whether jobs of priority 0 and started ones precede the others
	 * that can be on time
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return a copy
	 */
	List<PooledJob> inDispatchOrder(boolean urgentFirst, long nowMillis) {
		List<PooledJob> jobs = new ArrayList<>(size());
		forEachOnTime(urgentFirst, nowMillis, jobs::add);
		jobs.addAll(this.late);
		return jobs;
	}

	/**
	 * Passes on the jobs that can still be on time and the started ones, in the order in
	 * which they get free capacity.
	 * @param urgentFirst whether jobs of priority 0 and started ones precede the others
	 * @param nowMillis the current monotonic time in milliseconds
	 * @param visitor receives the jobs
	 */
	void forEachOnTime(boolean urgentFirst, long nowMillis, Consumer<PooledJob> visitor) {
		moveLateJobs(nowMillis);
		if (!urgentFirst) {
			this.onTime.forEach(visitor);
			return;
		}
		for (PooledJob job : this.onTime) {
			if (isUrgent(job)) {
				visitor.accept(job);
			}
		}
		for (PooledJob job : this.onTime) {
			if (!isUrgent(job)) {
				visitor.accept(job);
			}
		}
	}

	/**
	 * Returns whether a job precedes others while not all can start in time.
	 * @param job the job
	 * @return whether it has priority 0, has started or is kept
	 */
	static boolean isUrgent(PooledJob job) {
		return job.terms().priority() <= 0 || job.isStarted() || job.isKept();
	}

	/**
	 * Returns the jobs that can only be late.
	 * @return the jobs, in the order in which they get the capacity that the others leave
	 */
	Iterable<PooledJob> late() {
		return this.late;
	}

	/**
	 * Returns the work of all jobs.
	 * @return the work in thousandths of a core times milliseconds
	 */
	double work() {
		double work = 0;
		for (PooledJob job : this.onTime) {
			work += job.readyWork();
		}
		for (PooledJob job : this.late) {
			work += job.readyWork();
		}
		return work;
	}

	private void moveLateJobs(long nowMillis) {
		Iterator<PooledJob> jobs = this.onTime.iterator();
		while (jobs.hasNext()) {
			PooledJob job = jobs.next();
			if (job.latestStartMillis() >= nowMillis) {
				return;
			}
			if (isLate(job, nowMillis)) {
				jobs.remove();
				this.late.add(job);
			}
		}
	}

	private static boolean isLate(PooledJob job, long nowMillis) {
		return !job.isStarted() && !job.isKept() && job.latestStartMillis() < nowMillis;
	}

}
