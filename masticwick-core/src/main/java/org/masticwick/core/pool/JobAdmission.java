package org.masticwick.core.pool;

import java.util.List;
import java.util.Optional;

/**
 * Admits submitted jobs or refuses them, and refuses waiting ones that can't be started
 * in time. Advises the callers of refused jobs when to come back.
 */
final class JobAdmission {

	/**
	 * The advised retry delay for a job that only drained endpoints could run, in
	 * milliseconds. A return to service reaches the owner within this time; callers who
	 * come back before it are refused at once.
	 */
	private static final long DRAINED_RETRY_MILLIS = 1_000;

	private final EndpointTable endpoints;

	private final JobTable jobs;

	private final AdmissionPolicy policy;

	private final PoolActions actions;

	private final CapacityEstimator capacityEstimator = new CapacityEstimator();

	private final RetrySchedule retrySchedule = new RetrySchedule();

	JobAdmission(EndpointTable endpoints, JobTable jobs, AdmissionPolicy policy, PoolActions actions) {
		this.endpoints = endpoints;
		this.jobs = jobs;
		this.policy = policy;
		this.actions = actions;
	}

	/**
	 * Admits a submitted job or answers it with a refusal. Refuses other jobs that have
	 * not started in favour of it if the policy selects them.
	 * @param job the job, which is not in the queue
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether the job is admitted
	 */
	boolean admit(PooledJob job, long nowMillis) {
		Optional<JobOutcome> unplaceable = unplaceable(job);
		if (unplaceable.isPresent()) {
			this.actions.answer(job, this.jobs.certain(job, unplaceable.get(), nowMillis));
			return false;
		}
		if (isTooLate(job, nowMillis)) {
			Refusal refusal = new Refusal(job, "no-time-left", 0, backlogMillis());
			this.actions.answer(job, this.jobs.certain(job, outcome(refusal, nowMillis), nowMillis));
			return false;
		}
		this.policy.submitted(job, nowMillis);
		List<Refusal> refusals = refusals(job, nowMillis);
		refusals.forEach((refusal) -> refuse(refusal, nowMillis));
		return refusals.stream().noneMatch((refusal) -> refusal.job() == job);
	}

	/**
	 * Checks whether a job would be admitted, without a refusal of other jobs.
	 * @param job the job, which is not in the queue
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the refusal, or empty if the job would be admitted
	 */
	Optional<JobOutcome> check(PooledJob job, long nowMillis) {
		Optional<JobOutcome> unplaceable = unplaceable(job);
		if (unplaceable.isPresent()) {
			return unplaceable;
		}
		if (isTooLate(job, nowMillis)) {
			return Optional.of(outcome(new Refusal(job, "no-time-left", 0, backlogMillis())));
		}
		return refusals(job, nowMillis).stream()
			.filter((refusal) -> refusal.job() == job)
			.map((refusal) -> outcome(refusal, nowMillis))
			.findFirst();
	}

	/**
	 * Refuses the jobs that have not started and that only drained endpoints could run.
	 * Durable jobs wait.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void refuseJobsOfDrainedDomains(long nowMillis) {
		this.jobs.interactiveJobs()
			.stream()
			.filter((job) -> !job.isStarted() && this.endpoints.needsDrainedEndpoint(job))
			.forEach((job) -> this.jobs.finish(job, drainedRefusal(), nowMillis));
	}

	private static JobOutcome drainedRefusal() {
		return new JobOutcome(JobOutcome.Kind.REFUSED, DRAINED_RETRY_MILLIS, "domains-drained");
	}

	/**
	 * Answers the jobs past their deadline, and refuses those that wait in vain.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void cancelExpiredJobs(long nowMillis) {
		PoolCapacity capacity = capacity();
		double remainingMillis = backlogMillis();
		for (PooledJob job : this.jobs.interactiveJobs()) {
			double jobMillis = capacity.drainMillis(job.readyWork());
			boolean expired = nowMillis >= job.deadlineMillis();
			if (expired && job.isStarted()) {
				this.jobs.finish(job, new JobOutcome(JobOutcome.Kind.UNCERTAIN, (long) remainingMillis, "deadline"),
						nowMillis);
				remainingMillis -= jobMillis;
			}
			else if (!job.isStarted()
					&& (expired || this.policy.shouldCancelWaiting(job, remainingMillis, nowMillis))) {
				double waitedMillis = nowMillis - job.arrivedMillis();
				refuse(new Refusal(job, expired ? "deadline" : "waited-in-vain", waitedMillis, remainingMillis),
						nowMillis);
				remainingMillis -= jobMillis;
			}
		}
	}

	private Optional<JobOutcome> unplaceable(PooledJob job) {
		if (!this.endpoints.couldRun(job)) {
			return Optional.of(outcome(new Refusal(job, "no-fitting-endpoint", 0, backlogMillis())));
		}
		return this.endpoints.needsDrainedEndpoint(job) ? Optional.of(drainedRefusal()) : Optional.empty();
	}

	private static boolean isTooLate(PooledJob job, long nowMillis) {
		return !job.isTimed() && nowMillis + job.expectedMillis() > job.latestUsefulMillis();
	}

	/**
	 * Returns the answer to a refused job without booking the return of its caller,
	 * because free capacity would not help it.
	 * @param refusal the refusal
	 * @return the answer
	 */
	private static JobOutcome outcome(Refusal refusal) {
		long retryAfterMillis = RetrySchedule.MIN_RETRY_MILLIS + (long) refusal.backlogMillis();
		return new JobOutcome(JobOutcome.Kind.REFUSED, retryAfterMillis, refusal.description());
	}

	/**
	 * Returns the answer to a refused job and books the return of its caller.
	 * @param refusal the refusal
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the answer
	 */
	private JobOutcome outcome(Refusal refusal, long nowMillis) {
		PooledJob job = refusal.job();
		long retryAfterMillis = this.retrySchedule.book(job.terms().priority(), job.totalWork(), capacity(),
				this.capacityEstimator.spareShare(), nowMillis);
		return new JobOutcome(JobOutcome.Kind.REFUSED, retryAfterMillis, refusal.description());
	}

	/**
	 * Selects the jobs to refuse on a submission.
	 * @param job the submitted job, which is not in the queue
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the refusals
	 */
	private List<Refusal> refusals(PooledJob job, long nowMillis) {
		if (job.isTimed()) {
			return List.of();
		}
		JobQueue queue = this.jobs.queue();
		queue.add(job, nowMillis);
		List<Refusal> refusals = this.policy.select(job, queue, capacity(), nowMillis);
		queue.remove(job);
		return refusals;
	}

	private void refuse(Refusal refusal, long nowMillis) {
		PooledJob job = refusal.job();
		this.policy.refused(job, nowMillis);
		this.jobs.finish(job, outcome(refusal, nowMillis), nowMillis);
	}

	private PoolCapacity capacity() {
		return new PoolCapacity(this.endpoints.totalMillicores(), this.capacityEstimator.usableShare());
	}

	/**
	 * Returns how long the pool needs for all waiting jobs.
	 * @return the time in milliseconds
	 */
	double backlogMillis() {
		return capacity().drainMillis(this.jobs.queue().work());
	}

	/**
	 * Takes a sample of the used capacity after a scheduling pass.
	 * @param tasksWait whether tasks wait for capacity
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void sampleCapacity(boolean tasksWait, long nowMillis) {
		this.capacityEstimator.sample(this.endpoints.all(), tasksWait, nowMillis);
	}

}
