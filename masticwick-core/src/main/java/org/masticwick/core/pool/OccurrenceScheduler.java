package org.masticwick.core.pool;

import java.util.List;
import java.util.Optional;

/**
 * Schedules the occurrences of durable jobs in a pool: starts, suspends and aborts them.
 */
final class OccurrenceScheduler {

	private final EndpointTable endpoints;

	private final JobTable jobs;

	private final JobFactory jobFactory;

	private final JobAdmission admission;

	private final Dispatcher dispatcher;

	private final RunTracker runTracker;

	private final TerminationHandler terminationHandler;

	private final CrashLoopGuard crashLoopGuard;

	OccurrenceScheduler(EndpointTable endpoints, JobTable jobs, JobFactory jobFactory, JobAdmission admission,
			Dispatcher dispatcher, RunTracker runTracker, TerminationHandler terminationHandler,
			CrashLoopGuard crashLoopGuard) {
		this.endpoints = endpoints;
		this.jobs = jobs;
		this.jobFactory = jobFactory;
		this.admission = admission;
		this.dispatcher = dispatcher;
		this.runTracker = runTracker;
		this.terminationHandler = terminationHandler;
		this.crashLoopGuard = crashLoopGuard;
	}

	/**
	 * Checks whether a durable job would be admitted.
	 * @param spec the job
	 * @param terms the terms of the queue of the job
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the refusal, or empty if the job would be admitted
	 */
	Optional<JobOutcome> checkAdmission(JobSpec spec, JobTerms terms, long nowMillis) {
		PooledJob job = this.jobFactory.createForCheck(spec, terms, nowMillis);
		return this.admission.check(job, nowMillis);
	}

	/**
	 * Starts an occurrence of a durable job.
	 * @param job the job
	 * @param occurrence the number of the occurrence
	 * @param storedProgress the progress of its tasks as read from the shared log
	 * @param runNumbers the numbers that its runs may get
	 * @param suspended whether to start no task until {@link #setSuspended} resumes the
	 * occurrence
	 * @param dueMillis when the occurrence was due, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the scheduled job
	 */
	PooledJob start(DurableJob job, int occurrence, List<TaskProgress> storedProgress, JobRunNumbers runNumbers,
			boolean suspended, long dueMillis, long nowMillis) {
		PooledJob occurrenceJob = this.jobFactory.createOccurrence(job, occurrence, dueMillis);
		occurrenceJob.runNumbers(runNumbers);
		storedProgress.stream()
			.flatMap((progress) -> progress.losses().stream())
			.forEach((loss) -> this.crashLoopGuard.history().add(loss, nowMillis));
		occurrenceJob.restore(storedProgress);
		this.crashLoopGuard.watch(occurrenceJob, nowMillis);
		occurrenceJob.setSuspended(suspended);
		this.jobs.add(occurrenceJob);
		if (this.crashLoopGuard.isGivenUp(occurrenceJob, nowMillis)) {
			this.terminationHandler.giveUp(occurrenceJob, nowMillis);
			return occurrenceJob;
		}
		// The previous owner may have stored the last end of a run without the end of the
		// occurrence.
		if (this.terminationHandler.finishIfDecided(occurrenceJob, nowMillis)) {
			return occurrenceJob;
		}
		// An occurrence that a report opens is suspended: nothing may start within a
		// report.
		if (!suspended) {
			this.jobs.enqueueReady(occurrenceJob, nowMillis);
			this.dispatcher.dispatch(nowMillis);
		}
		return occurrenceJob;
	}

	/**
	 * Suspends or resumes a durable job.
	 * @param job the job
	 * @param suspended whether no task of the job may start
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void setSuspended(PooledJob job, boolean suspended, long nowMillis) {
		job.setSuspended(suspended);
		if (suspended) {
			this.jobs.queue().remove(job);
		}
		else if (!job.isFinished()) {
			this.jobs.enqueueReady(job, nowMillis);
			this.dispatcher.dispatch(nowMillis);
		}
	}

	/**
	 * Stops the runs of a durable job on endpoints outside a failure domain.
	 * @param job the job
	 * @param domain the failure domain whose endpoints continue
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void stopOutsideDomain(PooledJob job, String domain, long nowMillis) {
		JobTable.placements(job.allTasks().stream())
			.filter((placement) -> !placement.endpoint().entry().domain().equals(domain))
			.forEach((placement) -> {
				placement.markContinuedElsewhere();
				this.runTracker.stop(placement, "pool-out-of-reach", nowMillis);
			});
	}

	/**
	 * Finishes a durable job and stops its runs. Does nothing if it is finished.
	 * @param job the job
	 * @param reason the reason, for the log
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void abort(PooledJob job, String reason, long nowMillis) {
		if (!job.isFinished()) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, reason), nowMillis);
			this.dispatcher.dispatch(nowMillis);
		}
	}

	/**
	 * Stops the runs of a durable job that has another owner. Terminations of its runs
	 * are forwarded to that owner from now on.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void release(PooledJob job, long nowMillis) {
		job.markReleased();
		abort(job, "owner-changed", nowMillis);
	}

	/**
	 * Forwards a termination that was to be stored here to the present owner of its job.
	 * @param termination the termination
	 */
	void forwardTermination(TerminationId termination) {
		this.endpoints.terminationsOf(termination)
			.ifPresent((tracker) -> tracker.recordUnresolved(termination.number()));
	}

	/**
	 * Records the termination of a run on an endpoint of another owner.
	 * @param terminatedRun the terminated run
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void recordRemoteTermination(TerminatedRun terminatedRun, long nowMillis) {
		this.terminationHandler.findDurableTask(terminatedRun.run().task())
			.filter((task) -> task.recordTermination(terminatedRun))
			.ifPresent((task) -> {
				this.terminationHandler.remoteRunTerminated(task, terminatedRun, nowMillis);
				this.dispatcher.dispatch(nowMillis);
			});
	}

	void durableJobs(DurableJobLookup lookup) {
		this.terminationHandler.durableJobs(lookup);
	}

}
