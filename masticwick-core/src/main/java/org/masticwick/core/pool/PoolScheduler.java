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
	private static final int MAX_MISSES = 40;

	private final PoolSettings settings;

	private final PoolActions actions;

	private final EndpointTable endpoints;

	private final JobTable jobs;

	private final RunTimeEstimator runTimes = new RunTimeEstimator();

	private final AdmissionControl admission = new AdmissionControl();

	private final TaskStarter starter;

	private final RunTracker ledger;

	private final TerminationHandler ends;

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
		this.starter = new TaskStarter(this.endpoints, this.runTimes, actions);
		this.jobs = new JobTable(actions, this::stop);
		this.ends = new TerminationHandler(this.jobs, this.runTimes, this.starter, this::stop,
				settings.orphanedRunMaxMillis());
		this.ledger = new RunTracker(settings, actions, this.ends);
	}

	/**
	 * Sets who knows whether durable jobs are still to be read.
	 * @param unread who knows
	 */
	public void recoveryStatus(RecoveryStatus unread) {
		this.ends.unreadJobs(unread);
	}

	private void stop(Placement placement, String reason, long nowMillis) {
		this.ledger.stop(placement, reason, nowMillis);
	}

	/**
	 * Takes a job or refuses it.
	 * @param spec the job
	 * @param terms the terms of its queue
	 * @param origin who waits for the answer
	 * @param nowMillis the time in milliseconds
	 */
	public void submit(JobSpec spec, JobTerms terms, JobOrigin origin, long nowMillis) {
		Optional<PooledJob> present = this.jobs.find(spec.jobId());
		if (present.isPresent()) {
			attach(present.get(), origin);
			return;
		}
		PooledJob job = new PooledJob(spec, terms, origin, this.nextSequence++, nowMillis, this.runTimes);
		Optional<JobOutcome> refusal = refusal(job, nowMillis);
		if (refusal.isPresent()) {
			this.actions.answer(job, refusal.get());
			return;
		}
		this.jobs.add(job);
		this.jobs.enqueue(job, nowMillis);
		dispatch(nowMillis);
	}

	private void attach(PooledJob present, JobOrigin origin) {
		JobOrigin earlier = present.origin();
		if (!earlier.equals(origin)) {
			this.actions.answer(present, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "submitted-again"));
			present.origin(origin);
		}
	}

	private Optional<JobOutcome> refusal(PooledJob job, long nowMillis) {
		if (!this.endpoints.couldRun(job)) {
			return Optional.of(this.admission.refuse("no-fitting-endpoint", backlogMillis()));
		}
		if (job.spec().schedule().isTimed() || job.firstTasks().stream().anyMatch(PooledTask::isLongRunning)) {
			return Optional.empty();
		}
		double waitMillis = drainMillis(this.jobs.queue().workBefore(job.latestStartMillis(), nowMillis));
		return this.admission.refusal(job, waitMillis, backlogMillis(), nowMillis);
	}

	private double backlogMillis() {
		return drainMillis(this.jobs.queue().work());
	}

	private double drainMillis(double work) {
		double usable = this.endpoints.totalMillicores() * this.settings.usableShare();
		return (usable > 0) ? work / usable : 0;
	}

	/**
	 * Gives up a job whose caller has left.
	 * @param jobId the job
	 * @param origin who waited for the answer
	 * @param nowMillis the time in milliseconds
	 */
	public void cancel(String jobId, JobOrigin origin, long nowMillis) {
		this.jobs.find(jobId).filter((job) -> job.origin().equals(origin)).ifPresent((job) -> {
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
		this.jobs.callersJobs()
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
		this.jobs.callersJobs().forEach((job) -> {
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
		this.ledger.noteBirth(endpoint, entry.startedEpochMillis(), nowMillis);
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
				.forEach((placement) -> this.ends.revoked(endpoint, placement, nowMillis)));
	}

	/**
	 * Returns all that the next owner needs to go on.
	 * @param nowMillis the time in milliseconds
	 * @return the endpoints and the jobs that are not answered
	 */
	public PoolTransfer transfer(long nowMillis) {
		return new PoolTransfer(this.endpoints.transfer(),
				this.jobs.callersJobs().stream().map((job) -> job.transfer(nowMillis)).toList());
	}

	/**
	 * Goes on with the jobs of another owner, whose endpoints are listed already.
	 * @param transfers the jobs
	 * @param nowMillis the time in milliseconds
	 */
	public void adopt(List<JobTransfer> transfers, long nowMillis) {
		transfers.stream()
			.filter((transfer) -> !this.jobs.find(transfer.spec().jobId()).isPresent())
			.forEach((transfer) -> adopt(transfer, nowMillis));
		dispatch(nowMillis);
	}

	private void adopt(JobTransfer transfer, long nowMillis) {
		PooledJob job = new PooledJob(transfer.spec(), transfer.terms(), transfer.origin(), this.nextSequence++,
				nowMillis - transfer.ageMillis(), this.runTimes);
		this.jobs.add(job);
		transfer.tasks()
			.forEach((state) -> job.task(state.task()).ifPresent((task) -> adopt(job, task, state, nowMillis)));
		this.jobs.enqueueReady(job, nowMillis);
	}

	private void adopt(PooledJob job, PooledTask task, TaskTransfer state, long nowMillis) {
		task.adopt(state);
		if (state.runCount() > 0) {
			job.markStarted();
		}
		Optional<PooledEndpoint> endpoint = this.endpoints.find(state.endpointId());
		if (state.done()) {
			job.ready().remove(task);
			job.taskDone(task);
		}
		else if (endpoint.isPresent()) {
			job.ready().remove(task);
			long orderedMillis = nowMillis - state.sinceOrderedMillis();
			Placement placement = this.starter.place(task, task.currentRun(), endpoint.get(), orderedMillis);
			if (state.accepted()) {
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
			this.ledger.startRefused(placement, refusal, nowMillis);
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
			.ifPresent((placement) -> this.ledger.stop(placement, "start-unanswered", nowMillis));
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
			endpoint.heard(nowMillis);
			this.ledger.reported(endpoint, report, askedMillis, nowMillis);
			this.endpoints.dropIfGone(endpoint);
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
			this.ledger.endAll(endpoint, TerminationKind.LAPSED, nowMillis);
			this.endpoints.dropIfGone(endpoint);
			dispatch(nowMillis);
		});
	}

	/**
	 * Does what is due by time alone: gives up jobs, stops slow runs, orders stops again,
	 * starts tasks.
	 * @param nowMillis the time in milliseconds
	 */
	public void tick(long nowMillis) {
		this.ledger.tick(this.endpoints.all(), (placement) -> this.endpoints.hasRoomElsewhere(placement, nowMillis),
				nowMillis);
		giveUp(nowMillis);
		this.ends.restartUncertain(nowMillis);
		dispatch(nowMillis);
	}

	private void giveUp(long nowMillis) {
		this.jobs.callersJobs().forEach((job) -> {
			if (nowMillis >= job.deadlineMillis()) {
				JobOutcome.Kind kind = job.isStarted() ? JobOutcome.Kind.UNCERTAIN : JobOutcome.Kind.REFUSED;
				this.jobs.finish(job, new JobOutcome(kind, (long) backlogMillis(), "deadline"), nowMillis);
			}
			else if (!job.isStarted() && this.admission.givesWay(job, backlogMillis(), nowMillis)) {
				this.jobs.finish(job, this.admission.waitedInVain(backlogMillis()), nowMillis);
			}
		});
	}

	private void dispatch(long nowMillis) {
		PlacementFailures misses = new PlacementFailures();
		for (PooledJob job : this.jobs.queue().inOrder(nowMillis)) {
			startReady(job, misses, nowMillis);
			if (misses.count() >= MAX_MISSES) {
				return;
			}
		}
	}

	private void startReady(PooledJob job, PlacementFailures misses, long nowMillis) {
		boolean started = this.starter.startReady(job, misses, nowMillis);
		if (started && !job.isStarted()) {
			this.jobs.queue().remove(job);
			job.markStarted();
			this.jobs.enqueueReady(job, nowMillis);
		}
		else if (job.ready().isEmpty()) {
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
		return refusal(new PooledJob(spec, terms, JobOrigin.NONE, this.nextSequence, nowMillis, this.runTimes),
				nowMillis);
	}

	/**
	 * Runs an occurrence of a durable job.
	 * @param job the job
	 * @param occurrence the number of the occurrence
	 * @param kept how far its tasks are
	 * @param held whether to wait for {@link #hold} to let it go on
	 * @param arrivedMillis when it was due, in milliseconds
	 * @param nowMillis the time in milliseconds
	 * @return the job as it runs
	 */
	PooledJob begin(DurableJob job, int occurrence, List<TaskProgress> kept, boolean held, long arrivedMillis,
			long nowMillis) {
		PooledJob begun = new PooledJob(job.spec(), occurrence, job.terms(), JobOrigin.NONE, this.nextSequence++,
				arrivedMillis, this.runTimes);
		begun.restore(kept);
		begun.hold(held);
		this.jobs.add(begun);
		this.jobs.enqueueReady(begun, nowMillis);
		dispatch(nowMillis);
		return begun;
	}

	/**
	 * Holds a durable job back, or lets it go on.
	 * @param job the job
	 * @param back whether to start nothing of it
	 * @param nowMillis the time in milliseconds
	 */
	void hold(PooledJob job, boolean back, long nowMillis) {
		job.hold(back);
		if (back) {
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
	void stopOutside(PooledJob job, String domain, long nowMillis) {
		JobTable.placements(job.allTasks().stream())
			.filter((placement) -> !placement.endpoint().entry().domain().equals(domain))
			.forEach((placement) -> this.ledger.stop(placement, "pool-out-of-reach", nowMillis));
	}

	/**
	 * Ends a durable job and stops what runs of it.
	 * @param job the job
	 * @param reason why, for the log
	 * @param nowMillis the time in milliseconds
	 */
	void drop(PooledJob job, String reason, long nowMillis) {
		if (!job.isFinished()) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, reason), nowMillis);
			dispatch(nowMillis);
		}
	}

	/**
	 * Lets an endpoint forget an end, as the owner of its job has it.
	 * @param end the end
	 */
	public void orphanedTerminationRecorded(TerminationId end) {
		endsOf(end).ifPresent((ends) -> ends.takenIn(end.number()));
	}

	/**
	 * Takes note of the end of a run on an endpoint of another owner.
	 * @param ended the end
	 * @param nowMillis the time in milliseconds
	 * @return the job, or empty if it is not known or the end is counted already
	 */
	Optional<PooledJob> endedAtAnotherOwner(TerminatedRun ended, long nowMillis) {
		Optional<PooledTask> task = this.ends.durableTask(ended.run().task())
			.filter((known) -> ended.run().number() > known.endedRun());
		task.ifPresent((known) -> {
			known.runEnded(ended.run().number());
			known.checkpoint(ended.checkpoint());
			this.ends.endedElsewhere(known, ended, nowMillis);
			dispatch(nowMillis);
		});
		return task.map(PooledTask::job);
	}

	/**
	 * Lets an endpoint forget an end, as the shared log has it.
	 * @param end the end
	 */
	public void terminationStored(TerminationId end) {
		endsOf(end).ifPresent((ends) -> ends.stored(end.number()));
	}

	private Optional<TerminationTracker> endsOf(TerminationId end) {
		return this.endpoints.find(end.endpointId())
			.filter((endpoint) -> endpoint.bornEpochMillis() == end.startedEpochMillis())
			.map(PooledEndpoint::ends);
	}

	/**
	 * Returns up to which end an endpoint may forget its list.
	 * @param endpointId the endpoint
	 * @return the number of the last end that was taken note of, or 0
	 */
	public long acknowledgedTerminationNumber(String endpointId) {
		return this.endpoints.find(endpointId).map((endpoint) -> endpoint.ends().acknowledgedNumber()).orElse(0L);
	}

	/**
	 * Returns whether an endpoint lists ends that were taken in and are not stored yet.
	 * @param endpointId the endpoint
	 * @return whether it does
	 */
	public boolean hasUnstoredTerminations(String endpointId) {
		return this.endpoints.find(endpointId).filter((endpoint) -> endpoint.ends().hasKept()).isPresent();
	}

	/**
	 * Returns whether an endpoint lists ends of jobs that are not known yet.
	 * @param endpointId the endpoint
	 * @return whether it does
	 */
	public boolean hasUnresolvedTerminations(String endpointId) {
		return this.endpoints.find(endpointId).filter((endpoint) -> endpoint.ends().hasUnresolved()).isPresent();
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
			.filter((endpoint) -> endpoint.placementCount() + endpoint.foreignRunCount() > 0)
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
