package org.masticwick.core.pool;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Schedules the jobs of a pool for its owner: decides which jobs are admitted, on which
 * endpoint and when each task starts, and which runs are stopped. A task is restarted
 * only after its previous run has certainly terminated: the endpoint has reported the
 * termination or lost the run, its lease has expired, or the endpoint can no longer
 * execute its start request.
 * <p>
 * Not thread-safe: all calls must come from one thread and pass monotonic times.
 */
public final class PoolScheduler {

	private final PoolActions actions;

	private final EndpointTable endpoints;

	private final JobTable jobs;

	private final JobFactory jobFactory;

	private final JobAdmission admission;

	private final Dispatcher dispatcher;

	private final RunTracker runTracker;

	private final TerminationHandler terminationHandler;

	private final CrashLoopGuard crashLoopGuard;

	private final TransferHandler transferHandler;

	private final OccurrenceScheduler occurrences;

	private final PreviousOwnerRuns previousOwnerRuns;

	private final AwaitedTransfer awaitedTransfer = new AwaitedTransfer();

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

	PoolScheduler(PoolSettings settings, PoolActions actions, LossHistory lossHistory, AdmissionPolicy policy) {
		this.actions = actions;
		this.endpoints = new EndpointTable(settings.responseTimeoutMillis());
		RunTimeEstimator runTimeEstimator = new RunTimeEstimator();
		this.jobFactory = new JobFactory(runTimeEstimator);
		TaskStarter starter = new TaskStarter(this.endpoints, runTimeEstimator, actions);
		this.previousOwnerRuns = new PreviousOwnerRuns(this.endpoints, settings.leaseMaxMillis());
		this.jobs = new JobTable(actions, this::stop, this.previousOwnerRuns);
		this.admission = new JobAdmission(this.endpoints, this.jobs, policy, actions);
		this.dispatcher = new Dispatcher(this.endpoints, this.jobs, starter, policy,
				new UrgentReservation(settings.responseTimeoutMillis()), this.previousOwnerRuns, actions);
		startDelay((nowMillis) -> false);
		this.crashLoopGuard = new CrashLoopGuard(lossHistory, actions);
		this.transferHandler = new TransferHandler(this.endpoints, this.jobs, this.jobFactory, starter,
				this.crashLoopGuard, actions);
		this.terminationHandler = new TerminationHandler(this.jobs, runTimeEstimator, starter, this::stop,
				this.crashLoopGuard, settings.orphanedRunMaxMillis());
		this.runTracker = new RunTracker(settings, actions, this.crashLoopGuard, this.terminationHandler);
		this.occurrences = new OccurrenceScheduler(this.endpoints, this.jobs, this.jobFactory, this.admission,
				this.dispatcher, this.runTracker, this.terminationHandler, this.crashLoopGuard);
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
	 * Returns the scheduler of durable jobs, which uses the same capacity.
	 * @return the scheduler of their occurrences
	 */
	OccurrenceScheduler occurrences() {
		return this.occurrences;
	}

	/**
	 * Sets when tasks must wait although capacity is free, as the owner may have been
	 * paused.
	 * @param delay tells for the current monotonic time in milliseconds whether no task
	 * may start
	 */
	public void startDelay(LongPredicate delay) {
		this.dispatcher.startDelay((nowMillis) -> this.awaitedTransfer.isAwaited() || delay.test(nowMillis));
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
		this.admission.refuseJobsOfDrainedDomains(nowMillis);
		this.dispatcher.dispatch(nowMillis);
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
			this.jobs.replaceOrigin(existing.get(), origin);
			return;
		}
		PooledJob job = this.jobFactory.create(spec, terms, origin, nowMillis);
		this.crashLoopGuard.watch(job, nowMillis);
		if (this.crashLoopGuard.isGivenUp(job, nowMillis)) {
			this.terminationHandler.giveUp(job, nowMillis);
			return;
		}
		if (this.admission.admit(job, nowMillis)) {
			this.jobs.add(job);
			this.jobs.enqueue(job, nowMillis);
			this.dispatcher.dispatch(nowMillis);
		}
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
			this.dispatcher.dispatch(nowMillis);
		});
		return found.isPresent();
	}

	/**
	 * Returns whether a job is unanswered here, or may still have runs that this owner
	 * has started.
	 * @param jobId the id of the job
	 * @return whether another owner must not run it
	 */
	public boolean hasJob(String jobId) {
		return this.jobs.findUnansweredOrTerminating(jobId).isPresent();
	}

	/**
	 * Returns whether a job that this owner does not know may run on its endpoints, as a
	 * previous owner may have started it.
	 * @param jobId the id of the job
	 * @param receivedMillis when its callers' host received it, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether that is still open
	 */
	public boolean mayRunByPreviousOwner(String jobId, long receivedMillis, long nowMillis) {
		return this.awaitedTransfer.isAwaited()
				|| this.previousOwnerRuns.suspectedJobs(nowMillis).mayRun(jobId, receivedMillis);
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
			this.dispatcher.dispatch(nowMillis);
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
		this.dispatcher.dispatch(nowMillis);
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
		this.endpoints.succeededAtAddress(entry.incarnation()).forEach((previous) -> {
			this.runTracker.addressTaken(previous, nowMillis);
			this.endpoints.removeIfUnused(previous);
		});
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
	 * Records that this owner has assumed ownership of a pool. The runs of the previous
	 * owner are known when each endpoint of the pool has reported.
	 * @param pool the name of the pool, which is the failure domain of its endpoints
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void poolAssumed(String pool, long nowMillis) {
		this.previousOwnerRuns.poolAssumed(pool, nowMillis);
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
		return this.transferHandler.transfer(nowMillis);
	}

	/**
	 * Starts and stops nothing, and defers the reports of endpoints, until the transfer
	 * of a previous owner was adopted or is known not to come.
	 */
	public void awaitTransfer() {
		this.awaitedTransfer.await();
	}

	/**
	 * Returns whether the report of an endpoint waits for the transfer of a previous
	 * owner.
	 * @param endpointId the id of the endpoint
	 * @return whether a report was received that is yet to be processed
	 */
	public boolean isReportDeferred(String endpointId) {
		return this.awaitedTransfer.hasReport(endpointId);
	}

	/**
	 * Ends the wait for the transfer of a previous owner. Tasks start only after all
	 * deferred reports were processed, as any of them may list a run of a waiting job.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void endAwaitedTransfer(long nowMillis) {
		this.awaitedTransfer.end(this::processReport);
		this.dispatcher.dispatch(nowMillis);
	}

	/**
	 * Continues the jobs of a previous owner. Their endpoints must be listed already. A
	 * job that was submitted here again joins its runs, unless it has started here.
	 * @param transfer the state that the previous owner handed over
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void adopt(PoolTransfer transfer, long nowMillis) {
		this.transferHandler.adopt(transfer, nowMillis);
		this.admission.refuseJobsOfDrainedDomains(nowMillis);
		this.dispatcher.dispatch(nowMillis);
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
			this.dispatcher.dispatch(nowMillis);
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
			.ifPresent((placement) -> this.runTracker.startUnanswered(placement, "start-unanswered", nowMillis));
	}

	/**
	 * Records that an endpoint acknowledged a stop request.
	 * @param endpointId the id of the endpoint
	 * @param run the run
	 * @param requestedMillis when the stop request was sent, in milliseconds; an answer
	 * to an earlier one than the restart of the endpoint may be of its previous
	 * incarnation
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void stopConfirmed(String endpointId, TaskRun run, long requestedMillis, long nowMillis) {
		this.endpoints.find(endpointId, run)
			.filter((placement) -> requestedMillis > placement.endpoint().restartNoticedMillis())
			.ifPresent((placement) -> placement.stopConfirmed(nowMillis));
	}

	/**
	 * Processes the report that an endpoint returned with a lease renewal. One of a
	 * previous incarnation is ignored, as its numbers of terminations are not those of
	 * the present one.
	 * @param endpointId the id of the endpoint
	 * @param report the report
	 * @param requestedMillis when the renewal was sent, in milliseconds
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void endpointReported(String endpointId, EndpointReport report, long requestedMillis, long nowMillis) {
		this.endpoints.find(endpointId).filter((endpoint) -> !endpoint.isSuperseded(report)).ifPresent((endpoint) -> {
			if (this.awaitedTransfer.isAwaited() && !endpoint.hasReported()) {
				this.awaitedTransfer.defer(endpointId, report, requestedMillis, nowMillis);
				return;
			}
			processReport(endpointId, report, requestedMillis, nowMillis);
			this.dispatcher.dispatch(nowMillis);
		});
	}

	private void processReport(String endpointId, EndpointReport report, long requestedMillis, long receivedMillis) {
		this.endpoints.find(endpointId).filter((endpoint) -> !endpoint.isSuperseded(report)).ifPresent((endpoint) -> {
			endpoint.recordContact(receivedMillis);
			this.crashLoopGuard.incarnationSeen(endpoint.incarnation(report.startedEpochMillis()), true,
					receivedMillis);
			this.runTracker.processReport(endpoint, report, requestedMillis, receivedMillis);
			this.endpoints.removeIfUnused(endpoint);
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
			this.runTracker.leaseExpired(endpoint, nowMillis);
			this.endpoints.removeIfUnused(endpoint);
			this.dispatcher.dispatch(nowMillis);
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
		this.endpoints.removeUnused();
		this.admission.cancelExpiredJobs(nowMillis);
		this.terminationHandler.restartAfterUncertainty(nowMillis);
		this.terminationHandler.decideAfterLosses(nowMillis);
		this.dispatcher.dispatch(nowMillis);
		if (!this.dispatcher.isDelayed(nowMillis)) {
			this.admission.sampleCapacity(this.dispatcher.isCapacityShort(), nowMillis);
		}
	}

	/**
	 * Allows an endpoint to discard an orphaned termination, because the owner of the job
	 * has recorded it.
	 * @param termination the termination
	 */
	public void orphanedTerminationRecorded(TerminationId termination) {
		this.endpoints.terminationsOf(termination)
			.ifPresent((tracker) -> tracker.recordProcessed(termination.number()));
	}

	/**
	 * Allows an endpoint to discard a termination, because it is stored in the shared
	 * log.
	 * @param termination the termination
	 */
	public void terminationStored(TerminationId termination) {
		this.endpoints.terminationsOf(termination).ifPresent((tracker) -> tracker.recordStored(termination.number()));
	}

	/**
	 * Returns the number that the next command to an endpoint carries besides the fencing
	 * token of the owner. It rises when a start remains unanswered, so that the endpoint
	 * refuses that start later.
	 * @param endpointId the id of the endpoint
	 * @return the number, never lower than that of an earlier command to the endpoint
	 */
	public long commandCount(String endpointId) {
		return this.endpoints.find(endpointId)
			.map(PooledEndpoint::commandCount)
			.orElseGet(this.endpoints::highestCommandCount);
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
	 * Records that the lease of an endpoint is being extended. The endpoint may do so
	 * although its answer is lost.
	 * @param endpointId the id of the endpoint
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	public void leaseExtended(String endpointId, long nowMillis) {
		this.endpoints.find(endpointId).ifPresent((endpoint) -> endpoint.leaseExtended(nowMillis));
	}

	/**
	 * Returns the load of the pool.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the load
	 */
	public PoolLoad load(long nowMillis) {
		return new PoolLoad(this.endpoints.totalMillicores(), this.endpoints.freeMillicores(nowMillis),
				this.admission.backlogMillis(), this.jobs.count());
	}

}
