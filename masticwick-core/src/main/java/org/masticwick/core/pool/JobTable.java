package org.masticwick.core.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The jobs of an owner: those that are not answered, the queue of those with tasks to
 * start, and those that are answered while some of their runs may go on.
 */
final class JobTable {

	private final Map<String, PooledJob> jobs = new HashMap<>();

	/** Answered jobs with runs whose end is not certain yet. */
	private final Map<String, PooledJob> terminating = new HashMap<>();

	/** Jobs submitted again that wait for the end of the runs of the first submission. */
	private final Map<String, PooledJob> deferred = new HashMap<>();

	private final JobQueue queue = new JobQueue();

	private final PoolActions actions;

	private final RunStopper stopper;

	JobTable(PoolActions actions, RunStopper stopper) {
		this.actions = actions;
		this.stopper = stopper;
	}

	Optional<PooledJob> findUnanswered(String key) {
		return Optional.ofNullable(this.jobs.get(key));
	}

	/**
	 * Finds a job that is answered or not.
	 * @param key the key of the job
	 * @return the job
	 */
	Optional<PooledJob> findUnansweredOrTerminating(String key) {
		return findUnanswered(key).or(() -> Optional.ofNullable(this.terminating.get(key)));
	}

	int count() {
		return this.jobs.size();
	}

	JobQueue queue() {
		return this.queue;
	}

	/**
	 * Returns the jobs whose callers wait. Durable jobs are read from the shared log by
	 * the next owner.
	 * @return the jobs
	 */
	List<PooledJob> interactiveJobs() {
		return this.jobs.values().stream().filter((job) -> !job.spec().durable()).toList();
	}

	void add(PooledJob job) {
		this.jobs.put(job.key(), job);
	}

	/**
	 * Queues a new job, or has it wait for the runs of its first submission.
	 * @param job the job
	 * @param nowMillis the time in milliseconds
	 */
	void enqueue(PooledJob job, long nowMillis) {
		PooledJob terminatingJob = this.terminating.get(job.key());
		if (terminatingJob == null) {
			this.queue.add(job, nowMillis);
			return;
		}
		job.continueRunNumbersOf(terminatingJob);
		this.deferred.put(job.key(), job);
	}

	/**
	 * Queues a job if it has tasks to start.
	 * @param job the job
	 * @param nowMillis the time in milliseconds
	 */
	void enqueueReady(PooledJob job, long nowMillis) {
		if (!job.isSuspended() && !job.readyTasks().isEmpty() && !this.queue.contains(job)) {
			this.queue.add(job, nowMillis);
		}
	}

	void restart(Collection<PooledTask> tasks, long nowMillis) {
		tasks.forEach((task) -> task.job().restart(task));
		tasks.stream().findFirst().ifPresent((task) -> enqueueReady(task.job(), nowMillis));
	}

	/**
	 * Answers a job and stops what runs of it.
	 * @param job the job
	 * @param outcome the answer
	 * @param nowMillis the time in milliseconds
	 */
	void finish(PooledJob job, JobOutcome outcome, long nowMillis) {
		this.queue.remove(job);
		this.jobs.remove(job.key());
		this.deferred.remove(job.key(), job);
		job.markFinished();
		if (job.placementCount() > 0) {
			this.terminating.put(job.key(), job);
			placements(job.allTasks().stream())
				.forEach((placement) -> this.stopper.stop(placement, outcome.reason(), nowMillis));
		}
		this.actions.answer(job, outcome);
	}

	static Stream<Placement> placements(Stream<PooledTask> tasks) {
		return tasks.map(PooledTask::placement).filter(Objects::nonNull).toList().stream();
	}

	/**
	 * Forgets an answered job when its last run has ended.
	 * @param job the job
	 * @param nowMillis the time in milliseconds
	 */
	void removeIfTerminated(PooledJob job, long nowMillis) {
		if (job.placementCount() > 0) {
			return;
		}
		this.terminating.remove(job.key(), job);
		PooledJob deferredJob = this.deferred.remove(job.key());
		if (deferredJob != null) {
			deferredJob.continueRunNumbersOf(job);
			this.queue.add(deferredJob, nowMillis);
		}
	}

	/**
	 * Orders a run to be stopped.
	 */
	@FunctionalInterface
	interface RunStopper {

		/**
		 * Stops a run, if that was not ordered yet.
		 * @param placement the run
		 * @param reason why, for the log
		 * @param nowMillis the time in milliseconds
		 */
		void stop(Placement placement, String reason, long nowMillis);

	}

}
