package org.masticwick.core.pool;

import java.util.List;
import java.util.Optional;

/**
 * Decides for the owner of a pool which job is taken, which task starts where and when,
 * and which run is stopped. A task starts again only when the end of its last run is
 * certain: the endpoint listed it, lost it, or its lease has run out.
 * <p>
 * Not thread-safe: all calls come from one thread, with a time that never falls.
 */
public final class PoolScheduler {

	/** After how many kinds of task without a place a round of starts ends. */
	private static final int MAX_PLACEMENT_FAILURES = 40;

	private final PoolSettings settings;

	private final PoolActions actions;

	private final EndpointTable endpoints;

	private final JobTable jobs;

	private final RunTimeEstimator runTimeEstimator = new RunTimeEstimator();

	private final AdmissionControl admission = new AdmissionControl();

	private final TaskStarter starter;

	private final RunTracker runTracker;

	private final TerminationHandler terminationHandler;

	private long nextSequence;

	/**
	 * Creates the scheduler of a pool without endpoints.
	 * @param settings the settings
	 * @param actions carries out the decisions
	 */
	public PoolScheduler(PoolSettings settings, PoolActions actions) {
		this.settings = settings;
		this.actions = actions;
		this.endpoints = new EndpointTable(settings.responseTimeoutMillis());
		this.starter = new TaskStarter(this.endpoints, this.runTimeEstimator, actions);
		this.jobs = new JobTable(actions, this::stop);
		this.terminationHandler = new TerminationHandler(this.jobs, this.runTimeEstimator, this.starter, this::stop,
				settings.orphanedRunMaxMillis());
		this.runTracker = new RunTracker(settings, actions, this.terminationHandler);
	}

	/**
	 * Sets who knows whether durable jobs are still to be read.
	 * @param status who knows
	 */
	public void recoveryStatus(RecoveryStatus status) {
		this.terminationHandler.recoveryStatus(status);
	}

	private void stop(Placement placement, String reason, long nowMillis) {
		this.runTracker.stop(placement, reason, nowMillis);
	}

	/**
	 * Takes a job or refuses it.
	 * @param spec the job
	 * @param terms the terms of its queue
	 * @param origin who waits for the answer
	 * @param nowMillis the time in milliseconds
	 */
	public void submit(JobSpec spec, JobTerms terms, JobOrigin origin, long nowMillis) {
		Optional<PooledJob> existing = this.jobs.findUnanswered(spec.jobId());
		if (existing.isPresent()) {
			replaceOrigin(existing.get(), origin);
			return;
		}
		PooledJob job = new PooledJob(spec, terms, origin, this.nextSequence++, nowMillis, this.runTimeEstimator);
		Optional<JobOutcome> refusal = refusal(job, nowMillis);
		if (refusal.isPresent()) {
			this.actions.answer(job, refusal.get());
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

	private Optional<JobOutcome> refusal(PooledJob job, long nowMillis) {
		if (!this.endpoints.couldRun(job)) {
			return Optional.of(this.admission.refuse("no-fitting-endpoint", backlogMillis()));
		}
		if (job.spec().schedule().isTimed() || job.firstTasks().stream().anyMatch(PooledTask::isLongRunning)) {
			return Optional.empty();
		}
		double waitMillis = drainMillis(this.jobs.queue().workAhead(job.latestStartMillis(), nowMillis));
		return this.admission.check(job, waitMillis, backlogMillis(), nowMillis);
	}

	private double backlogMillis() {
		return drainMillis(this.jobs.queue().work());
	}

	private double drainMillis(double work) {
		double usableMillicores = this.endpoints.totalMillicores() * this.settings.usableShare();
		return (usableMillicores > 0) ? work / usableMillicores : 0;
	}

	/**
	 * Gives up a job whose caller has left.
	 * @param jobId the job
	 * @param origin who waited for the answer
	 * @param nowMillis the time in milliseconds
	 */
	public void cancel(String jobId, JobOrigin origin, long nowMillis) {
		this.jobs.findUnanswered(jobId).filter((job) -> job.origin().equals(origin)).ifPresent((job) -> {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "caller-left"), nowMillis);
			dispatch(nowMillis);
		});
	}

	/**
	 * Gives up all jobs of an entry host that is not heard any more.
	 * @param host the name of the host
	 * @param nowMillis the time in milliseconds
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
	 * Gives up all jobs, as the pool has another owner.
	 * @param nowMillis the time in milliseconds
	 */
	public void abandonJobs(long nowMillis) {
		this.jobs.interactiveJobs().forEach((job) -> {
			JobOutcome.Kind kind = job.isStarted() ? JobOutcome.Kind.UNCERTAIN : JobOutcome.Kind.REFUSED;
			this.jobs.finish(job, new JobOutcome(kind, 0, "owner-changed"), nowMillis);
		});
	}

	/**
	 * Takes note of an entry of the list of endpoints.
	 * @param entry the entry
	 * @param nowMillis the time in milliseconds
	 */
	public void endpointListed(EndpointEntry entry, long nowMillis) {
		PooledEndpoint endpoint = this.endpoints.listed(entry);
		this.runTracker.recordIncarnation(endpoint, entry.startedEpochMillis(), nowMillis);
	}

	/**
	 * Takes note that an endpoint is not listed any more; it gets no new tasks.
	 * @param endpointId the endpoint
	 * @param nowMillis the time in milliseconds
	 */
	public void endpointUnlisted(String endpointId, long nowMillis) {
		this.endpoints.unlisted(endpointId);
	}

	/**
	 * Takes note that another owner orders an endpoint: what runs there is lost to this
	 * one.
	 * @param endpointId the endpoint
	 * @param nowMillis the time in milliseconds
	 */
	public void endpointRevoked(String endpointId, long nowMillis) {
		this.endpoints.remove(endpointId)
			.ifPresent((endpoint) -> endpoint.placements()
				.forEach((placement) -> this.terminationHandler.endpointRevoked(endpoint, placement, nowMillis)));
	}

	/**
	 * Returns all that the next owner needs to go on.
	 * @param nowMillis the time in milliseconds
	 * @return the endpoints and the jobs that are not answered
	 */
	public PoolTransfer transfer(long nowMillis) {
		return new PoolTransfer(this.endpoints.transfer(),
				this.jobs.interactiveJobs().stream().map((job) -> job.transfer(nowMillis)).toList());
	}

	/**
	 * Goes on with the jobs of another owner, whose endpoints are listed already.
	 * @param transfers the jobs
	 * @param nowMillis the time in milliseconds
	 */
	public void adopt(List<JobTransfer> transfers, long nowMillis) {
		transfers.stream()
			.filter((transfer) -> !this.jobs.findUnanswered(transfer.spec().jobId()).isPresent())
			.forEach((transfer) -> adopt(transfer, nowMillis));
		dispatch(nowMillis);
	}

	private void adopt(JobTransfer transfer, long nowMillis) {
		PooledJob job = new PooledJob(transfer.spec(), transfer.terms(), transfer.origin(), this.nextSequence++,
				nowMillis - transfer.ageMillis(), this.runTimeEstimator);
		this.jobs.add(job);
		transfer.tasks()
			.forEach((taskTransfer) -> job.task(taskTransfer.task())
				.ifPresent((task) -> adopt(job, task, taskTransfer, nowMillis)));
		this.jobs.enqueueReady(job, nowMillis);
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
			long orderedMillis = nowMillis - taskTransfer.sinceOrderedMillis();
			Placement placement = this.starter.place(task, task.currentRun(), endpoint.get(), orderedMillis);
			if (taskTransfer.accepted()) {
				placement.accept(orderedMillis);
			}
		}
	}

	/**
	 * Takes note that an endpoint accepted a start.
	 * @param endpointId the endpoint
	 * @param run the run
	 * @param nowMillis the time in milliseconds
	 */
	public void startAccepted(String endpointId, TaskRun run, long nowMillis) {
		this.endpoints.find(endpointId, run).ifPresent((placement) -> placement.accept(nowMillis));
	}

	/**
	 * Takes note that an endpoint refused a start, which has not happened.
	 * @param endpointId the endpoint
	 * @param run the run
	 * @param refusal why
	 * @param nowMillis the time in milliseconds
	 */
	public void startRefused(String endpointId, TaskRun run, StartRefusal refusal, long nowMillis) {
		this.endpoints.find(endpointId, run).ifPresent((placement) -> {
			this.runTracker.startRefused(placement, refusal, nowMillis);
			dispatch(nowMillis);
		});
	}

	/**
	 * Takes note that a start has no answer, so that it may happen at any time.
	 * @param endpointId the endpoint
	 * @param run the run
	 * @param nowMillis the time in milliseconds
	 */
	public void startUnanswered(String endpointId, TaskRun run, long nowMillis) {
		this.endpoints.find(endpointId, run)
			.filter((placement) -> !placement.isAccepted())
			.ifPresent((placement) -> this.runTracker.stop(placement, "start-unanswered", nowMillis));
	}

	/**
	 * Takes note that an endpoint has acknowledged a stop.
	 * @param endpointId the endpoint
	 * @param run the run
	 * @param nowMillis the time in milliseconds
	 */
	public void stopConfirmed(String endpointId, TaskRun run, long nowMillis) {
		this.endpoints.find(endpointId, run).ifPresent((placement) -> placement.stopConfirmed(nowMillis));
	}

	/**
	 * Takes what an endpoint told when its lease was renewed.
	 * @param endpointId the endpoint
	 * @param report the report
	 * @param askedMillis when it was asked, in milliseconds
	 * @param nowMillis the time in milliseconds
	 */
	public void endpointReported(String endpointId, EndpointReport report, long askedMillis, long nowMillis) {
		this.endpoints.find(endpointId).ifPresent((endpoint) -> {
			endpoint.recordContact(nowMillis);
			this.runTracker.reported(endpoint, report, askedMillis, nowMillis);
			this.endpoints.removeIfUnused(endpoint);
			dispatch(nowMillis);
		});
	}

	/**
	 * Takes note that the lease of an endpoint has certainly run out, also by its own
	 * clock.
	 * @param endpointId the endpoint
	 * @param nowMillis the time in milliseconds
	 */
	public void leaseExpired(String endpointId, long nowMillis) {
		this.endpoints.find(endpointId).ifPresent((endpoint) -> {
			this.runTracker.terminateAll(endpoint, TerminationKind.LAPSED, nowMillis);
			this.endpoints.removeIfUnused(endpoint);
			dispatch(nowMillis);
		});
	}

	/**
	 * Does what is due by time alone: gives up jobs, stops slow runs, orders stops again,
	 * starts tasks.
	 * @param nowMillis the time in milliseconds
	 */
	public void tick(long nowMillis) {
		this.runTracker.tick(this.endpoints.all(), (placement) -> this.endpoints.hasRoomElsewhere(placement, nowMillis),
				nowMillis);
		cancelExpiredJobs(nowMillis);
		this.terminationHandler.restartAfterUncertainty(nowMillis);
		dispatch(nowMillis);
	}

	private void cancelExpiredJobs(long nowMillis) {
		this.jobs.interactiveJobs().forEach((job) -> {
			if (nowMillis >= job.deadlineMillis()) {
				JobOutcome.Kind kind = job.isStarted() ? JobOutcome.Kind.UNCERTAIN : JobOutcome.Kind.REFUSED;
				this.jobs.finish(job, new JobOutcome(kind, (long) backlogMillis(), "deadline"), nowMillis);
			}
			else if (!job.isStarted() && this.admission.shouldCancelWaiting(job, backlogMillis(), nowMillis)) {
				this.jobs.finish(job, this.admission.refuseAfterWaiting(backlogMillis()), nowMillis);
			}
		});
	}

	private void dispatch(long nowMillis) {
		PlacementFailures failures = new PlacementFailures();
		for (PooledJob job : this.jobs.queue().inDispatchOrder(nowMillis)) {
			startReady(job, failures, nowMillis);
			if (failures.count() >= MAX_PLACEMENT_FAILURES) {
				return;
			}
		}
	}

	private void startReady(PooledJob job, PlacementFailures failures, long nowMillis) {
		boolean started = this.starter.startReady(job, failures, nowMillis);
		if (started && !job.isStarted()) {
			this.jobs.queue().remove(job);
			job.markStarted();
			this.jobs.enqueueReady(job, nowMillis);
		}
		else if (job.readyTasks().isEmpty()) {
			this.jobs.queue().remove(job);
		}
	}

	/**
	 * Tells whether a durable job would be taken.
	 * @param spec the job
	 * @param terms the terms of its queue
	 * @param nowMillis the time in milliseconds
	 * @return the refusal, or empty if the job would be taken
	 */
	public Optional<JobOutcome> checkAdmission(JobSpec spec, JobTerms terms, long nowMillis) {
		return refusal(new PooledJob(spec, terms, JobOrigin.NONE, this.nextSequence, nowMillis, this.runTimeEstimator),
				nowMillis);
	}

	/**
	 * Runs an occurrence of a durable job.
	 * @param job the job
	 * @param occurrence the number of the occurrence
	 * @param storedProgress how far its tasks are
	 * @param suspended whether to wait for {@link #hold} to let it go on
	 * @param dueMillis when it was due, in milliseconds
	 * @param nowMillis the time in milliseconds
	 * @return the job as it runs
	 */
	PooledJob startOccurrence(DurableJob job, int occurrence, List<TaskProgress> storedProgress, boolean suspended,
			long dueMillis, long nowMillis) {
		PooledJob occurrenceJob = new PooledJob(job.spec(), occurrence, job.terms(), JobOrigin.NONE,
				this.nextSequence++, dueMillis, this.runTimeEstimator);
		occurrenceJob.restore(storedProgress);
		occurrenceJob.setSuspended(suspended);
		this.jobs.add(occurrenceJob);
		this.jobs.enqueueReady(occurrenceJob, nowMillis);
		dispatch(nowMillis);
		return occurrenceJob;
	}

	/**
	 * Holds a durable job back, or lets it go on.
	 * @param job the job
	 * @param suspended whether to start nothing of it
	 * @param nowMillis the time in milliseconds
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
	 * Stops the runs of a durable job on the endpoints of other failure domains.
	 * @param job the job
	 * @param domain the failure domain whose endpoints go on
	 * @param nowMillis the time in milliseconds
	 */
	void stopOutsideDomain(PooledJob job, String domain, long nowMillis) {
		JobTable.placements(job.allTasks().stream())
			.filter((placement) -> !placement.endpoint().entry().domain().equals(domain))
			.forEach((placement) -> this.runTracker.stop(placement, "pool-out-of-reach", nowMillis));
	}

	/**
	 * Ends a durable job and stops what runs of it.
	 * @param job the job
	 * @param reason why, for the log
	 * @param nowMillis the time in milliseconds
	 */
	void abort(PooledJob job, String reason, long nowMillis) {
		if (!job.isFinished()) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, reason), nowMillis);
			dispatch(nowMillis);
		}
	}

	/**
	 * Lets an endpoint forget an end, as the owner of its job has it.
	 * @param termination the end
	 */
	public void orphanedTerminationRecorded(TerminationId termination) {
		terminationsOf(termination).ifPresent((tracker) -> tracker.recordProcessed(termination.number()));
	}

	/**
	 * Takes note of the end of a run on an endpoint of another owner.
	 * @param terminatedRun the end
	 * @param nowMillis the time in milliseconds
	 * @return the job, or empty if it is not known or the end is counted already
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
	 * Lets an endpoint forget an end, as the shared log has it.
	 * @param termination the end
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
	 * Returns up to which end an endpoint may forget its list.
	 * @param endpointId the endpoint
	 * @return the number of the last end that was taken note of, or 0
	 */
	public long acknowledgedTerminationNumber(String endpointId) {
		return this.endpoints.find(endpointId)
			.map((endpoint) -> endpoint.terminations().acknowledgedNumber())
			.orElse(0L);
	}

	/**
	 * Returns whether an endpoint lists ends that were taken in and are not stored yet.
	 * @param endpointId the endpoint
	 * @return whether it does
	 */
	public boolean hasUnstoredTerminations(String endpointId) {
		return this.endpoints.find(endpointId)
			.filter((endpoint) -> endpoint.terminations().hasUnacknowledged())
			.isPresent();
	}

	/**
	 * Returns whether an endpoint lists ends of jobs that are not known yet.
	 * @param endpointId the endpoint
	 * @return whether it does
	 */
	public boolean hasUnresolvedTerminations(String endpointId) {
		return this.endpoints.find(endpointId)
			.filter((endpoint) -> endpoint.terminations().hasUnresolved())
			.isPresent();
	}

	/**
	 * Returns whether an endpoint is listed, or still holds runs.
	 * @param endpointId the endpoint
	 * @return whether it matters
	 */
	public boolean isTracked(String endpointId) {
		return this.endpoints.find(endpointId).isPresent();
	}

	/**
	 * Returns whether an endpoint holds runs whose end is not certain.
	 * @param endpointId the endpoint
	 * @return whether it is busy
	 */
	public boolean isBusy(String endpointId) {
		return this.endpoints.find(endpointId)
			.filter((endpoint) -> endpoint.placementCount() + endpoint.orphanedRunCount() > 0)
			.isPresent();
	}

	/**
	 * Returns the load of the pool.
	 * @param nowMillis the time in milliseconds
	 * @return the load
	 */
	public PoolLoad load(long nowMillis) {
		return new PoolLoad(this.endpoints.totalMillicores(), this.endpoints.freeMillicores(nowMillis), backlogMillis(),
				this.jobs.count());
	}

}
