package org.masticwick.core.pool;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Schedules the jobs of a pool for its owner: decides which jobs are admitted, on which
 * endpoint and when each task starts, and which runs are stopped. A task is restarted
 * only after its previous run has certainly terminated: the endpoint has reported the
 * termination or lost the run, or its lease has expired.
 * <p>
 * Not thread-safe: all calls must come from one thread and pass monotonic times.
 */
public final class PoolScheduler {

	/**
	 * A scheduling pass ends after this many failed placements of distinct kinds of task.
	 */
	private static final int MAX_PLACEMENT_FAILURES = 40;

	/**
	 * The advised retry delay for a job that only drained endpoints could run, in
	 * milliseconds. A return to service reaches the owner within this time; callers who
	 * come back before it are refused at once.
	 */
	private static final long DRAINED_RETRY_MILLIS = 1_000;

	private final PoolActions actions;

	private final EndpointTable endpoints;

	private final JobTable jobs;

	private final RunTimeEstimator runTimeEstimator = new RunTimeEstimator();

	private final AdmissionPolicy admission;

	private final CapacityEstimator capacityEstimator = new CapacityEstimator();

	private final RetrySchedule retrySchedule = new RetrySchedule();

	private final UrgentReservation urgentReservation;

	private final TaskStarter starter;

	private final RunTracker runTracker;

	private final TerminationHandler terminationHandler;

	private final CrashLoopGuard crashLoopGuard;

	private LongPredicate startDelay = (nowMillis) -> false;

	/** Whether tasks waited for free capacity after the last scheduling pass. */
	private boolean capacityShort;

	private long nextSequence;

	/**
	 * Creates the scheduler of a pool without endpoints and without a history.
	 * @param settings the settings
	 * @param actions executes the scheduling decisions
	 */
	public PoolScheduler(PoolSettings settings, PoolActions actions) {
		this(settings, actions, new LossHistory());
	}

	/**
	 * Creates the scheduler of a pool without endpoints.
	 * @param settings the settings
	 * @param actions executes the scheduling decisions
	 * @param lossHistory the losses of endpoints under tasks, which this scheduler adds
	 * to
	 */
	public PoolScheduler(PoolSettings settings, PoolActions actions, LossHistory lossHistory) {
		this(settings, actions, lossHistory, new LoadShedding(new PriorityCost()));
	}

	PoolScheduler(PoolSettings settings, PoolActions actions, LossHistory lossHistory, AdmissionPolicy admission) {
		this.admission = admission;
		this.urgentReservation = new UrgentReservation(settings.responseTimeoutMillis());
		this.actions = actions;
		this.endpoints = new EndpointTable(settings.responseTimeoutMillis());
		this.starter = new TaskStarter(this.endpoints, this.runTimeEstimator, actions);
		this.jobs = new JobTable(actions, this::stop);
		this.crashLoopGuard = new CrashLoopGuard(lossHistory, actions);
		this.terminationHandler = new TerminationHandler(this.jobs, this.runTimeEstimator, this.starter, this::stop,
				this.crashLoopGuard, settings.orphanedRunMaxMillis());
		this.runTracker = new RunTracker(settings, actions, this.crashLoopGuard, this.terminationHandler);
	}

	/**
	 * Sets the source of the recovery status, which decides how runs of unknown jobs are
	 * treated.
	 * @param status whether durable jobs remain to be read from the shared log
	 */
	public void recoveryStatus(RecoveryStatus status) {
		this.terminationHandler.recoveryStatus(status);
	}

	/**
	 * Sets when tasks must wait although capacity is free, as the owner may have been
	 * paused.
	 * @param delay tells for the current monotonic time in milliseconds whether no task
	 * may start
	 */
	public void startDelay(LongPredicate delay) {
		this.startDelay = delay;
	}

	/**
	 * Replaces the set of failure domains whose endpoints get no new tasks. Runs there
	 * continue. Jobs that have not started and that only such endpoints could run are
	 * refused; durable jobs wait until the domain is returned to service.
	 * @param domains the names of the domains
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void drainedDomains(Set<String> domains, long nowMillis) {
		this.endpoints.drainedDomains(domains);
		refuseJobsOfDrainedDomains(nowMillis);
		dispatch(nowMillis);
	}

	private void refuseJobsOfDrainedDomains(long nowMillis) {
		this.jobs.interactiveJobs()
			.stream()
			.filter((job) -> !job.isStarted() && this.endpoints.needsDrainedEndpoint(job))
			.forEach((job) -> this.jobs.finish(job, drainedRefusal(), nowMillis));
	}

	private static JobOutcome drainedRefusal() {
		return new JobOutcome(JobOutcome.Kind.REFUSED, DRAINED_RETRY_MILLIS, "domains-drained");
	}

	private void stop(Placement placement, String reason, long nowMillis) {
		this.runTracker.stop(placement, reason, nowMillis);
	}

	/**
	 * Admits a job or refuses it. If the job exists already, the new origin replaces the
	 * previous one, which is answered as uncertain.
	 * @param spec the job
	 * @param terms the terms of the queue of the job
	 * @param origin the entry host and the call that wait for the answer
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void submit(JobSpec spec, JobTerms terms, JobOrigin origin, long nowMillis) {
		Optional<PooledJob> existing = this.jobs.findUnanswered(spec.jobId());
		if (existing.isPresent()) {
			replaceOrigin(existing.get(), origin);
			return;
		}
		PooledJob job = new PooledJob(spec, terms, origin, this.nextSequence++, nowMillis, this.runTimeEstimator);
		this.crashLoopGuard.watch(job, nowMillis);
		if (this.crashLoopGuard.isGivenUp(job, nowMillis)) {
			this.terminationHandler.giveUp(job, nowMillis);
			return;
		}
		Optional<JobOutcome> unplaceable = unplaceable(job);
		if (unplaceable.isPresent()) {
			this.actions.answer(job, this.jobs.certain(job, unplaceable.get()));
			return;
		}
		if (isTooLate(job, nowMillis)) {
			Refusal refusal = new Refusal(job, "no-time-left", 0, backlogMillis());
			this.actions.answer(job, this.jobs.certain(job, outcome(refusal, nowMillis)));
			return;
		}
		this.admission.submitted(job, nowMillis);
		List<Refusal> refusals = refusals(job, nowMillis);
		refusals.forEach((refusal) -> refuse(refusal, nowMillis));
		if (refusals.stream().anyMatch((refusal) -> refusal.job() == job)) {
			return;
		}
		this.jobs.add(job);
		this.jobs.enqueue(job, nowMillis);
		dispatch(nowMillis);
	}

	private void replaceOrigin(PooledJob existing, JobOrigin origin) {
		JobOrigin previousOrigin = existing.origin();
		if (!previousOrigin.equals(origin)) {
			this.actions.answer(existing, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "submitted-again"));
			existing.origin(origin);
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
		List<Refusal> refusals = this.admission.select(job, queue, capacity(), nowMillis);
		queue.remove(job);
		return refusals;
	}

	private void refuse(Refusal refusal, long nowMillis) {
		PooledJob job = refusal.job();
		this.admission.refused(job, nowMillis);
		this.jobs.finish(job, outcome(refusal, nowMillis), nowMillis);
	}

	private PoolCapacity capacity() {
		return new PoolCapacity(this.endpoints.totalMillicores(), this.capacityEstimator.usableShare());
	}

	private double backlogMillis() {
		return capacity().drainMillis(this.jobs.queue().work());
	}

	/**
	 * Cancels a job whose caller has disconnected. Does nothing if the job has another
	 * origin by now.
	 * @param jobId the id of the job
	 * @param origin the call that waited for the answer
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether the job was unanswered and had this origin
	 */
	public boolean cancel(String jobId, JobOrigin origin, long nowMillis) {
		Optional<PooledJob> found = this.jobs.findUnanswered(jobId).filter((job) -> job.origin().equals(origin));
		found.ifPresent((job) -> {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "caller-left"), nowMillis);
			dispatch(nowMillis);
		});
		return found.isPresent();
	}

	/**
	 * Cancels the jobs of calls that an entry host has given up, because their callers
	 * submit them again.
	 * @param host the name of the host
	 * @param callNumbers the numbers of the calls
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void cancelCalls(String host, Set<Long> callNumbers, long nowMillis) {
		List<PooledJob> abandoned = this.jobs.interactiveJobs()
			.stream()
			.filter((job) -> callNumbers.contains(job.origin().callNumber()) && job.origin().host().equals(host))
			.toList();
		abandoned.forEach(
				(job) -> this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "call-abandoned"), nowMillis));
		if (!abandoned.isEmpty()) {
			dispatch(nowMillis);
		}
	}

	/**
	 * Cancels all jobs that came from an entry host that is lost.
	 * @param host the name of the host
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void entryHostLost(String host, long nowMillis) {
		this.jobs.interactiveJobs()
			.stream()
			.filter((job) -> job.origin().host().equals(host))
			.forEach((job) -> this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "entry-host-lost"),
					nowMillis));
		dispatch(nowMillis);
	}

	/**
	 * Abandons all jobs that are not durable, because the pool has another owner. Jobs
	 * that have not started are refused, others are answered as uncertain.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void abandonJobs(long nowMillis) {
		this.jobs.interactiveJobs().forEach((job) -> {
			JobOutcome.Kind kind = job.isStarted() ? JobOutcome.Kind.UNCERTAIN : JobOutcome.Kind.REFUSED;
			this.jobs.finish(job, new JobOutcome(kind, 0, "owner-changed"), nowMillis);
		});
	}

	/**
	 * Adds or updates an endpoint of the endpoint list.
	 * @param entry the entry
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void endpointListed(EndpointEntry entry, long nowMillis) {
		PooledEndpoint endpoint = this.endpoints.listed(entry);
		this.crashLoopGuard.incarnationSeen(entry.incarnation(), false, nowMillis);
		this.runTracker.recordIncarnation(endpoint, entry.startedEpochMillis(), nowMillis);
	}

	/**
	 * Records that an endpoint was removed from the endpoint list. It gets no new tasks.
	 * @param endpointId the id of the endpoint
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void endpointUnlisted(String endpointId, long nowMillis) {
		this.endpoints.unlisted(endpointId);
	}

	/**
	 * Removes an endpoint that another owner controls. This owner no longer receives
	 * reports on the runs there.
	 * @param endpointId the id of the endpoint
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void endpointRevoked(String endpointId, long nowMillis) {
		this.endpoints.remove(endpointId)
			.ifPresent((endpoint) -> endpoint.placements()
				.forEach((placement) -> this.terminationHandler.endpointRevoked(endpoint, placement, nowMillis)));
	}

	/**
	 * Returns the state that the next owner needs to continue.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the endpoints and the unanswered jobs that are not durable
	 */
	public PoolTransfer transfer(long nowMillis) {
		return new PoolTransfer(this.endpoints.transfer(),
				this.jobs.interactiveJobs().stream().map((job) -> this.jobs.transfer(job, nowMillis)).toList(),
				this.crashLoopGuard.history().all());
	}

	/**
	 * Continues the jobs of a previous owner. Their endpoints must be listed already;
	 * jobs that exist here are skipped.
	 * @param transfer the state that the previous owner handed over
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void adopt(PoolTransfer transfer, long nowMillis) {
		transfer.losses().forEach((loss) -> this.crashLoopGuard.history().add(loss, nowMillis));
		transfer.jobs()
			.stream()
			.filter((job) -> !this.jobs.findUnanswered(job.spec().jobId()).isPresent())
			.forEach((job) -> adopt(job, nowMillis));
		refuseJobsOfDrainedDomains(nowMillis);
		dispatch(nowMillis);
	}

	private void adopt(JobTransfer transfer, long nowMillis) {
		PooledJob job = new PooledJob(transfer.spec(), transfer.terms(), transfer.origin(), this.nextSequence++,
				nowMillis - transfer.ageMillis(), this.runTimeEstimator);
		this.jobs.add(job);
		this.crashLoopGuard.watch(job, nowMillis);
		transfer.tasks()
			.forEach((taskTransfer) -> job.task(taskTransfer.task())
				.ifPresent((task) -> adopt(job, task, taskTransfer, nowMillis)));
		if (transfer.tasks().stream().anyMatch(this::isOnUnknownEndpoint)) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "endpoint-unknown"), nowMillis);
			return;
		}
		this.jobs.enqueueReady(job, nowMillis);
	}

	private boolean isOnUnknownEndpoint(TaskTransfer task) {
		return !task.endpointId().isEmpty() && this.endpoints.find(task.endpointId()).isEmpty();
	}

	private void adopt(PooledJob job, PooledTask task, TaskTransfer taskTransfer, long nowMillis) {
		task.adopt(taskTransfer);
		if (taskTransfer.runCount() > 0) {
			job.markStarted();
		}
		Optional<PooledEndpoint> endpoint = this.endpoints.find(taskTransfer.endpointId());
		if (taskTransfer.done()) {
			job.readyTasks().remove(task);
			job.taskDone(task);
		}
		else if (endpoint.isPresent()) {
			job.readyTasks().remove(task);
			long startRequestedMillis = nowMillis - taskTransfer.sinceStartRequestedMillis();
			Placement placement = this.starter.place(task, task.currentRun(), endpoint.get(), startRequestedMillis);
			if (taskTransfer.accepted()) {
				placement.accept(startRequestedMillis);
			}
		}
	}

	/**
	 * Records that an endpoint accepted a start request.
	 * @param endpointId the id of the endpoint
	 * @param run the run
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void startAccepted(String endpointId, TaskRun run, long nowMillis) {
		this.endpoints.find(endpointId, run).ifPresent((placement) -> placement.accept(nowMillis));
	}

	/**
	 * Records that an endpoint refused a start request, so that the run has not started.
	 * @param endpointId the id of the endpoint
	 * @param run the run
	 * @param refusal the reason for the refusal
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void startRefused(String endpointId, TaskRun run, StartRefusal refusal, long nowMillis) {
		this.endpoints.find(endpointId, run).ifPresent((placement) -> {
			this.runTracker.startRefused(placement, refusal, nowMillis);
			dispatch(nowMillis);
		});
	}

	/**
	 * Records that a start request was not answered. The run may start at any time, so it
	 * is stopped.
	 * @param endpointId the id of the endpoint
	 * @param run the run
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void startUnanswered(String endpointId, TaskRun run, long nowMillis) {
		this.endpoints.find(endpointId, run)
			.filter((placement) -> !placement.isAccepted())
			.ifPresent((placement) -> this.runTracker.stop(placement, "start-unanswered", nowMillis));
	}

	/**
	 * Records that an endpoint acknowledged a stop request.
	 * @param endpointId the id of the endpoint
	 * @param run the run
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void stopConfirmed(String endpointId, TaskRun run, long nowMillis) {
		this.endpoints.find(endpointId, run).ifPresent((placement) -> placement.stopConfirmed(nowMillis));
	}

	/**
	 * Processes the report that an endpoint returned with a lease renewal.
	 * @param endpointId the id of the endpoint
	 * @param report the report
	 * @param requestedMillis when the renewal was sent, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void endpointReported(String endpointId, EndpointReport report, long requestedMillis, long nowMillis) {
		this.endpoints.find(endpointId).ifPresent((endpoint) -> {
			endpoint.recordContact(nowMillis);
			this.crashLoopGuard.incarnationSeen(endpoint.incarnation(report.startedEpochMillis()), true, nowMillis);
			this.runTracker.processReport(endpoint, report, requestedMillis, nowMillis);
			this.endpoints.removeIfUnused(endpoint);
			dispatch(nowMillis);
		});
	}

	/**
	 * Records that the lease of an endpoint has certainly expired, also by the clock of
	 * the endpoint.
	 * @param endpointId the id of the endpoint
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void leaseExpired(String endpointId, long nowMillis) {
		this.endpoints.find(endpointId).ifPresent((endpoint) -> {
			this.runTracker.loseAll(endpoint, LossCause.LEASE_EXPIRED, nowMillis);
			this.endpoints.removeIfUnused(endpoint);
			dispatch(nowMillis);
		});
	}

	/**
	 * Runs the periodic work: stops slow runs, retries stop requests, answers jobs past
	 * their deadline, restarts and starts tasks.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void tick(long nowMillis) {
		this.runTracker.tick(this.endpoints.all(),
				(placement) -> this.endpoints.hasCapacityElsewhere(placement, nowMillis), nowMillis);
		cancelExpiredJobs(nowMillis);
		this.terminationHandler.restartAfterUncertainty(nowMillis);
		this.terminationHandler.decideAfterLosses(nowMillis);
		dispatch(nowMillis);
		if (!this.startDelay.test(nowMillis)) {
			this.capacityEstimator.sample(this.endpoints.all(), this.capacityShort, nowMillis);
		}
	}

	private void cancelExpiredJobs(long nowMillis) {
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
					&& (expired || this.admission.shouldCancelWaiting(job, remainingMillis, nowMillis))) {
				double waitedMillis = nowMillis - job.arrivedMillis();
				refuse(new Refusal(job, expired ? "deadline" : "waited-in-vain", waitedMillis, remainingMillis),
						nowMillis);
				remainingMillis -= jobMillis;
			}
		}
	}

	private void dispatch(long nowMillis) {
		this.capacityShort = false;
		if (this.jobs.queue().size() == 0 || this.startDelay.test(nowMillis)) {
			return;
		}
		try {
			dispatchInOrder(this.admission.isUrgentFirst(nowMillis), nowMillis);
		}
		finally {
			this.urgentReservation.release();
		}
	}

	private void dispatchInOrder(boolean urgentFirst, long nowMillis) {
		PlacementFailures failures = new PlacementFailures(this.endpoints.largestFree(nowMillis));
		boolean reserved = false;
		for (PooledJob job : this.jobs.queue().inDispatchOrder(urgentFirst, nowMillis)) {
			if (!reserved && this.urgentReservation.isNeeded() && !JobQueue.isUrgent(job)) {
				reserved = true;
				this.urgentReservation.reserve(this.endpoints, nowMillis);
				failures.largestFree(this.endpoints.largestFree(nowMillis));
			}
			startReady(job, failures, nowMillis);
			this.capacityShort |= waitsForCapacity(job);
			if (failures.count() >= MAX_PLACEMENT_FAILURES) {
				return;
			}
			if (!reserved && urgentFirst && job.terms().priority() <= 0 && !job.readyTasks().isEmpty()) {
				this.urgentReservation.add(job);
			}
		}
	}

	// A task that needs a drained endpoint, or one with a rare label, may wait while most
	// of the capacity is free.
	private boolean waitsForCapacity(PooledJob job) {
		PooledTask task = job.readyTasks().peek();
		return task != null && task.step().requiredLabel().isEmpty() && !this.endpoints.needsDrainedEndpoint(job);
	}

	private void startReady(PooledJob job, PlacementFailures failures, long nowMillis) {
		boolean started = this.starter.startReady(job, failures, nowMillis);
		if (started) {
			failures.largestFree(this.endpoints.largestFree(nowMillis));
		}
		if (started && !job.isStarted()) {
			this.jobs.queue().remove(job);
			job.markStarted();
			this.admission.started(job, nowMillis);
			this.jobs.enqueueReady(job, nowMillis);
		}
		else if (job.readyTasks().isEmpty()) {
			this.jobs.queue().remove(job);
		}
	}

	/**
	 * Checks whether a durable job would be admitted.
	 * @param spec the job
	 * @param terms the terms of the queue of the job
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the refusal, or empty if the job would be admitted
	 */
	public Optional<JobOutcome> checkAdmission(JobSpec spec, JobTerms terms, long nowMillis) {
		PooledJob job = new PooledJob(spec, terms, JobOrigin.NONE, this.nextSequence, nowMillis, this.runTimeEstimator);
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
	 * Starts an occurrence of a durable job.
	 * @param job the job
	 * @param occurrence the number of the occurrence
	 * @param storedProgress the progress of its tasks as read from the shared log
	 * @param suspended whether to start no task until {@link #setSuspended} resumes the
	 * occurrence
	 * @param dueMillis when the occurrence was due, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the scheduled job
	 */
	PooledJob startOccurrence(DurableJob job, int occurrence, List<TaskProgress> storedProgress, boolean suspended,
			long dueMillis, long nowMillis) {
		PooledJob occurrenceJob = new PooledJob(job.spec(), occurrence, job.terms(), JobOrigin.NONE,
				this.nextSequence++, dueMillis, this.runTimeEstimator);
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
		this.jobs.enqueueReady(occurrenceJob, nowMillis);
		dispatch(nowMillis);
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
			dispatch(nowMillis);
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
			dispatch(nowMillis);
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
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void forwardTermination(TerminationId termination, long nowMillis) {
		terminationsOf(termination).ifPresent((tracker) -> tracker.recordUnresolved(termination.number(), nowMillis));
	}

	/**
	 * Allows an endpoint to discard an orphaned termination, because the owner of the job
	 * has recorded it.
	 * @param termination the termination
	 */
	public void orphanedTerminationRecorded(TerminationId termination) {
		terminationsOf(termination).ifPresent((tracker) -> tracker.recordProcessed(termination.number()));
	}

	/**
	 * Records the termination of a run on an endpoint of another owner.
	 * @param terminatedRun the terminated run
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the job, or empty if the job is unknown or the termination is already
	 * recorded
	 */
	Optional<PooledJob> recordRemoteTermination(TerminatedRun terminatedRun, long nowMillis) {
		Optional<PooledTask> task = this.terminationHandler.findDurableTask(terminatedRun.run().task())
			.filter((found) -> terminatedRun.run().number() > found.lastTerminatedRun());
		task.ifPresent((found) -> {
			found.recordTermination(terminatedRun.run().number());
			found.checkpoint(terminatedRun.checkpoint());
			this.terminationHandler.remoteRunTerminated(found, terminatedRun, nowMillis);
			dispatch(nowMillis);
		});
		return task.map(PooledTask::job);
	}

	/**
	 * Allows an endpoint to discard a termination, because it is stored in the shared
	 * log.
	 * @param termination the termination
	 */
	public void terminationStored(TerminationId termination) {
		terminationsOf(termination).ifPresent((tracker) -> tracker.recordStored(termination.number()));
	}

	private Optional<TerminationTracker> terminationsOf(TerminationId termination) {
		return this.endpoints.find(termination.endpointId())
			.filter((endpoint) -> endpoint.startedEpochMillis() == termination.startedEpochMillis())
			.map(PooledEndpoint::terminations);
	}

	/**
	 * Returns the number up to which an endpoint may discard terminations.
	 * @param endpointId the id of the endpoint
	 * @return the number of the last termination to acknowledge, or 0
	 */
	public long acknowledgedTerminationNumber(String endpointId) {
		return this.endpoints.find(endpointId)
			.map((endpoint) -> endpoint.terminations().acknowledgedNumber())
			.orElse(0L);
	}

	/**
	 * Returns whether an endpoint reports terminations that it must keep, because they
	 * are not stored or not resolved.
	 * @param endpointId the id of the endpoint
	 * @return whether there are such terminations
	 */
	public boolean hasUnstoredTerminations(String endpointId) {
		return this.endpoints.find(endpointId)
			.filter((endpoint) -> endpoint.terminations().hasUnacknowledged())
			.isPresent();
	}

	/**
	 * Returns whether an endpoint reports terminations of unknown jobs.
	 * @param endpointId the id of the endpoint
	 * @return whether there are such terminations
	 */
	public boolean hasUnresolvedTerminations(String endpointId) {
		return this.endpoints.find(endpointId)
			.filter((endpoint) -> endpoint.terminations().hasUnresolved())
			.isPresent();
	}

	/**
	 * Returns whether an endpoint is listed or still has runs.
	 * @param endpointId the id of the endpoint
	 * @return whether this scheduler tracks the endpoint
	 */
	public boolean isTracked(String endpointId) {
		return this.endpoints.find(endpointId).isPresent();
	}

	/**
	 * Returns whether an endpoint has runs that may not have terminated, orphaned ones
	 * included.
	 * @param endpointId the id of the endpoint
	 * @return whether it is busy
	 */
	public boolean isBusy(String endpointId) {
		return this.endpoints.find(endpointId).filter(PooledEndpoint::isBusy).isPresent();
	}

	/**
	 * Returns whether the lease of an endpoint may be extended. It must expire while a
	 * run there has to end and its end is not certain, because the lease holds for all
	 * runs of the endpoint: callers submit a job again that this owner has given up, and
	 * another owner may start it.
	 * @param endpointId the id of the endpoint
	 * @return whether the endpoint has runs and all of them may go on
	 */
	public boolean mayExtendLease(String endpointId) {
		return this.endpoints.find(endpointId)
			.filter(PooledEndpoint::isBusy)
			.filter((endpoint) -> !endpoint.hasRunToEnd())
			.filter((endpoint) -> endpoint.orphanedJobIds()
				.stream()
				.allMatch(this.terminationHandler::isRecoveryInProgress))
			.isPresent();
	}

	/**
	 * Returns the load of the pool.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the load
	 */
	public PoolLoad load(long nowMillis) {
		return new PoolLoad(this.endpoints.totalMillicores(), this.endpoints.freeMillicores(nowMillis), backlogMillis(),
				this.jobs.count());
	}

}
