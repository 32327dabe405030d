package org.masticwick.core.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Holds the jobs of an owner: the unanswered ones, the queue of those with tasks to
 * start, and the terminating ones, which are answered while some of their runs may
 * continue.
 */
final class JobTable {

	private final Map<String, PooledJob> jobs = new HashMap<>();

	/** Answered jobs with runs that have not certainly terminated. */
	private final Map<String, PooledJob> terminating = new HashMap<>();

	/**
	 * Resubmitted jobs that wait until the runs of the first submission have terminated.
	 */
	private final Map<String, PooledJob> deferred = new HashMap<>();

	private final JobQueue queue = new JobQueue();

	private final PoolActions actions;

	private final RunStopper stopper;

	private final PreviousOwnerRuns previousOwnerRuns;

	JobTable(PoolActions actions, RunStopper stopper, PreviousOwnerRuns previousOwnerRuns) {
		this.previousOwnerRuns = previousOwnerRuns;
		this.actions = actions;
		this.stopper = stopper;
	}

	Optional<PooledJob> findUnanswered(String key) {
		return Optional.ofNullable(this.jobs.get(key));
	}

	/**
	 * Finds an unanswered or terminating job.
	 * @param key the key of the job
	 * @return the job, or empty if there is none
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
	 * Returns the unanswered jobs that are not durable; their callers wait. Durable jobs
	 * need no transfer, because the next owner reads them from the shared log.
	 * @return the jobs
	 */
	List<PooledJob> interactiveJobs() {
		return this.jobs.values().stream().filter((job) -> !job.spec().durable()).toList();
	}

	/**
	 * Returns the state of a job for the next owner.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the state, with the runs that the job waits for
	 */
	JobTransfer transfer(PooledJob job, long nowMillis) {
		return waitsForRuns(job) ? job.transfer(this.terminating.get(job.key()), nowMillis) : job.transfer(nowMillis);
	}

	/**
	 * Returns whether runs of a previous submission of a job may go on at this owner.
	 * @param job the job
	 * @return whether the job must wait for their end
	 */
	boolean waitsForRuns(PooledJob job) {
		return this.terminating.containsKey(job.key());
	}

	/**
	 * Returns what a job may be answered with. A job is refused only if no run of a
	 * previous submission can go on, here or of a previous owner, as its caller's host
	 * may send it to another pool.
	 * @param job the job
	 * @param outcome the intended outcome
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the outcome
	 */
	JobOutcome certain(PooledJob job, JobOutcome outcome, long nowMillis) {
		boolean refused = outcome.kind() == JobOutcome.Kind.REFUSED;
		boolean mayRun = refused
				&& (waitsForRuns(job) || this.previousOwnerRuns.suspectedJobs(nowMillis).contains(job));
		return mayRun ? JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "previous-runs") : outcome;
	}

	/**
	 * Answers a job as uncertain that waits for the runs of a previous submission, if
	 * this owner no longer learns of their end.
	 * @param previousSubmission the previous submission
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void giveUpDeferred(PooledJob previousSubmission, long nowMillis) {
		PooledJob deferredJob = this.deferred.get(previousSubmission.key());
		if (deferredJob != null) {
			finish(deferredJob, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "endpoint-of-another-owner"), nowMillis);
		}
	}

	/**
	 * Lets another call wait for the answer to a job. The previous one is answered as
	 * uncertain.
	 * @param job the job
	 * @param origin the entry host and the call
	 */
	void replaceOrigin(PooledJob job, JobOrigin origin) {
		if (!job.origin().equals(origin)) {
			this.actions.answer(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "submitted-again"));
			job.origin(origin);
		}
	}

	/**
	 * Removes a job that has not started, without an answer.
	 * @param job the job
	 */
	void withdraw(PooledJob job) {
		this.queue.remove(job);
		this.jobs.remove(job.key(), job);
		this.deferred.remove(job.key(), job);
	}

	void add(PooledJob job) {
		this.jobs.put(job.key(), job);
	}

	/**
	 * Enqueues a new job, or defers it while runs of a previous submission have not
	 * terminated.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
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
	 * Enqueues a job if it has tasks to start, is not suspended and is not in the queue.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
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
	 * Answers a job and stops its runs.
	 * @param job the job
	 * @param outcome the answer
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void finish(PooledJob job, JobOutcome outcome, long nowMillis) {
		JobOutcome certainOutcome = certain(job, outcome, nowMillis);
		this.queue.remove(job);
		this.jobs.remove(job.key());
		this.deferred.remove(job.key(), job);
		job.markFinished();
		if (job.placementCount() > 0) {
			this.terminating.put(job.key(), job);
			placements(job.allTasks().stream())
				.forEach((placement) -> this.stopper.stop(placement, outcome.reason(), nowMillis));
		}
		this.actions.answer(job, certainOutcome);
	}

	static Stream<Placement> placements(Stream<PooledTask> tasks) {
		return tasks.map(PooledTask::placement).filter(Objects::nonNull).toList().stream();
	}

	/**
	 * Removes a terminating job if its last run has terminated, and enqueues its deferred
	 * resubmission.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
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
	 * Stops runs.
	 */
	@FunctionalInterface
	interface RunStopper {

		/**
		 * Sends a stop request for a run, unless one was sent before.
		 * @param placement the placement of the run
		 * @param reason the reason, for the log
		 * @param nowMillis the current monotonic time in milliseconds
		 */
		void stop(Placement placement, String reason, long nowMillis);

	}

}
