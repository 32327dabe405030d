package org.masticwick.fleet.process;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.LostRun;
import org.masticwick.core.pool.PauseGuard;
import org.masticwick.core.pool.PoolActions;
import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.pool.PoolTransfer;
import org.masticwick.core.pool.PooledJob;
import org.masticwick.core.pool.RestartVerdict;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskLoss;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.connection.EndpointCalls;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.version.DrainedDomainsHolder;
import org.masticwick.wire.PeerMessage;

/**
 * Owns one or more pools of endpoints and schedules them as one: connects the scheduler
 * with the endpoints, the durable jobs and the other hosts. Must be called on the event
 * loop.
 */
final class PoolOwner implements PoolActions {

	private static final Logger logger = LoggerFactory.getLogger(PoolOwner.class);

	/**
	 * How long a new owner waits for the endpoint list before it starts tasks with what
	 * it knew as a standby. The log answers in a fraction of it, also when it is slow.
	 */
	private static final long MAX_ENDPOINT_LOAD_MILLIS = 400;

	private final EventLoop eventLoop;

	private final OwnedPools pools = new OwnedPools();

	private final PoolOwnerListener listener;

	private final DecisionLog decisionLog;

	private final PoolScheduler scheduler;

	private final LeaseRenewals leases;

	private final EndpointCommands commands;

	private final DurableJobManager durableJobs;

	private final int siteDomainCount;

	private final PauseGuard pauseGuard = new PauseGuard(Clock.nowMillis(), Clock.epochMillis());

	private final LossExchange lossExchange;

	private final DrainedDomainsHolder drains;

	private long endpointsAwaitedUntilMillis = Clock.nowMillis() + MAX_ENDPOINT_LOAD_MILLIS;

	private final JobRegistrar registrar;

	private boolean endpointsLoaded;

	private final DeferredCancellations deferredCancellations = new DeferredCancellations();

	PoolOwner(EventLoop eventLoop, EndpointCalls calls, JobLog jobLog, List<String> domains, FleetMetrics metrics,
			LossExchange lossExchange, DrainedDomainsHolder drains, SiteOwners siteOwners, PoolOwnerListener listener) {
		this.eventLoop = eventLoop;
		this.decisionLog = new DecisionLog(metrics);
		this.listener = listener;
		this.registrar = new JobRegistrar(eventLoop, this.pools, siteOwners, new RegisteredJobs(),
				listener::isPoolReachable, metrics);
		this.lossExchange = lossExchange;
		this.drains = drains;
		PoolSettings settings = PoolSettings.defaults();
		this.scheduler = new PoolScheduler(settings, this, lossExchange.history());
		this.leases = new LeaseRenewals(eventLoop, calls, this.pools, metrics, this.scheduler,
				settings.responseTimeoutMillis(), listener::poolFenced);
		this.commands = new EndpointCommands(calls, this.pools, this.leases, metrics, this.scheduler);
		this.siteDomainCount = domains.size();
		this.durableJobs = new DurableJobManager(eventLoop, jobLog, domains, this.scheduler, new DurableJobListener());
		this.scheduler.recoveryStatus(this.durableJobs);
		this.scheduler.startDelay(this::isStartDelayed);
		drainedDomainsChanged();
	}

	/**
	 * Applies the newest known set of drained failure domains. While pools are handed
	 * over, nothing starts, and the next owner applies the set that it knows.
	 */
	void drainedDomainsChanged() {
		if (this.pools.isFrozen()) {
			return;
		}
		this.drains.current().ifPresent((known) -> {
			this.scheduler.drainedDomains(known.domains(), Clock.nowMillis());
			this.pools.inNameOrder().filter(known::contains).forEach(this::logDrainedPool);
		});
	}

	private void logDrainedPool(String pool) {
		logger.atInfo()
			.addKeyValue("pool", pool)
			.addKeyValue("pools", pools())
			.addKeyValue("total_millicores", load().totalMillicores())
			.addKeyValue("jobs", jobCount())
			.log("Owned pool is drained; its capacity does not count");
	}

	Set<String> pools() {
		return this.pools.names();
	}

	boolean owns(String pool) {
		return this.pools.contains(pool);
	}

	void addPool(PoolClaim claim) {
		if (!owns(claim.pool())) {
			this.scheduler.poolAssumed(claim.pool(), Clock.nowMillis());
			this.registrar.poolAssumed(claim.pool());
		}
		this.pools.add(claim);
		this.durableJobs.addPool(claim);
		if (this.drains.isDrained(claim.pool())) {
			logDrainedPool(claim.pool());
		}
	}

	/**
	 * Removes a pool that another host owns now.
	 * @param pool the name of the pool
	 */
	void removePool(String pool) {
		this.registrar.returnAll();
		this.pools.remove(pool);
		this.durableJobs.removePool(pool);
		this.leases.removePool(pool);
	}

	List<PoolReport> reports() {
		return this.pools.reports(load());
	}

	PoolLoad load() {
		return this.scheduler.load(Clock.nowMillis());
	}

	boolean isFrozen() {
		return this.pools.isFrozen();
	}

	/**
	 * Stops sending commands to endpoints, as the pools are about to be handed over.
	 * @return the jobs and endpoints that the next owner continues with
	 */
	PoolTransfer freeze() {
		this.registrar.returnAll();
		this.pools.setFrozen(true);
		return this.scheduler.transfer(Clock.nowMillis());
	}

	/**
	 * Resumes scheduling and renewals, as the handover failed.
	 */
	void unfreeze() {
		long nowMillis = Clock.nowMillis();
		// Nothing starts before all of these jobs have ended, as starts are delayed while
		// frozen.
		this.deferredCancellations.apply((peerAddress) -> this.scheduler.entryHostLost(peerAddress, nowMillis),
				(peerAddress, callNumbers) -> this.scheduler.cancelCalls(peerAddress, callNumbers, nowMillis));
		this.pools.setFrozen(false);
		drainedDomainsChanged();
		this.leases.resume();
	}

	/**
	 * Continues the jobs of the previous owner. Its endpoints must be listed already.
	 * @param transfer the jobs and endpoints that it handed over
	 */
	void adopt(PoolTransfer transfer) {
		this.scheduler.adopt(transfer, Clock.nowMillis());
	}

	/**
	 * Starts nothing, and defers the first reports of endpoints, until the previous owner
	 * of a pool has confirmed that it hands its jobs over.
	 */
	void awaitTransfer() {
		this.scheduler.awaitTransfer();
	}

	/**
	 * Ends the wait for the confirmation of a previous owner.
	 */
	void endAwaitedTransfer() {
		this.scheduler.endAwaitedTransfer(Clock.nowMillis());
	}

	int jobCount() {
		return load().jobCount();
	}

	/**
	 * Accepts a job. One that is not durable starts once it is certain that no other
	 * owner runs it.
	 * @param pool the pool that it was sent to
	 * @param job the job
	 * @param terms the terms of its queue
	 * @param origin the callers' host and the call that wait for the answer
	 * @param refusedBy the pool that has refused this copy of the job before, or an empty
	 * string
	 */
	void submit(String pool, JobSpec job, JobTerms terms, JobOrigin origin, String refusedBy) {
		if (job.durable()) {
			this.durableJobs.submit(pool, job, terms, origin);
			return;
		}
		this.registrar.submit(new JobSubmission(pool, job, terms, origin, refusedBy, Clock.nowMillis()));
	}

	/**
	 * Answers the registration of a job that another owner is about to run.
	 * @param from the peer address of that owner
	 * @param registration the job
	 * @return the answer
	 */
	PeerMessage register(HostAddress from, JobRegistration registration) {
		return this.registrar.register(from, registration);
	}

	/**
	 * Cancels a job that its callers' host has given up.
	 * @param jobId the id of the job
	 * @param origin the call that waited for the answer
	 * @return whether the job was running or waiting here for this call
	 */
	boolean cancel(String jobId, JobOrigin origin) {
		return this.registrar.cancel(jobId, (submission) -> submission.origin().equals(origin))
				|| this.scheduler.cancel(jobId, origin, Clock.nowMillis());
	}

	/**
	 * Cancels the jobs of calls that their callers' host has given up. While pools are
	 * handed over, the next owner may continue these jobs, so that this one ends them
	 * only if the handover fails; the reports that list them may all come before that if
	 * this process is paused.
	 * @param peerAddress the peer address of the host
	 * @param callNumbers the numbers of the calls
	 */
	void cancelAbandoned(String peerAddress, List<Long> callNumbers) {
		if (callNumbers.isEmpty()) {
			return;
		}
		if (this.pools.isFrozen()) {
			this.deferredCancellations.callsAbandoned(peerAddress, Set.copyOf(callNumbers));
		}
		else {
			this.registrar.cancelAll((submission) -> submission.origin().host().equals(peerAddress)
					&& callNumbers.contains(submission.origin().callNumber()));
			this.scheduler.cancelCalls(peerAddress, Set.copyOf(callNumbers), Clock.nowMillis());
		}
	}

	CompletableFuture<PeerMessage> query(PeerMessage.JobQuery query) {
		return this.durableJobs.query(query);
	}

	CompletableFuture<PeerMessage> recordOrphanedTermination(PeerMessage.StrayEnd message) {
		return this.durableJobs.recordOrphanedTermination(message);
	}

	boolean hasDurableJobs() {
		return this.durableJobs.jobs().hasJobs();
	}

	/**
	 * Returns since when writes of this owner's durable jobs to the log have been
	 * failing.
	 * @return the time in milliseconds, or a negative number if none fails or there are
	 * no durable jobs
	 */
	long jobsUnwritableSinceMillis() {
		return hasDurableJobs() ? this.durableJobs.unwritableSinceMillis() : -1;
	}

	/**
	 * Cancels all jobs of a callers' host that is lost. While pools are handed over, the
	 * next owner may continue these jobs, so that this one ends them only if the handover
	 * fails.
	 * @param peerAddress the peer address of the host
	 */
	void entryHostLost(String peerAddress) {
		if (this.pools.isFrozen()) {
			this.deferredCancellations.entryHostLost(peerAddress);
			return;
		}
		this.registrar.cancelAll((submission) -> submission.origin().host().equals(peerAddress));
		this.scheduler.entryHostLost(peerAddress, Clock.nowMillis());
	}

	/**
	 * Abandons all jobs and stops sending commands to endpoints.
	 */
	void close() {
		this.registrar.returnAll();
		this.scheduler.abandonJobs(Clock.nowMillis());
		this.pools.setFrozen(true);
		this.durableJobs.close();
	}

	/**
	 * Stops without abandoning jobs, as another host continues them.
	 */
	void discard() {
		this.registrar.returnAll();
		this.pools.setFrozen(true);
		this.durableJobs.close();
	}

	void endpointListed(EndpointEntry entry) {
		if (this.pools.isFrozen() || !owns(entry.domain())) {
			return;
		}
		this.scheduler.endpointListed(entry, Clock.nowMillis());
		this.leases.endpointListed(entry);
	}

	void endpointUnlisted(String endpointId) {
		this.scheduler.endpointUnlisted(endpointId, Clock.nowMillis());
	}

	/**
	 * Records that the endpoint list was loaded from the log. Until then capacities may
	 * have shrunk, and endpoints may be leaving, without this owner's knowledge.
	 */
	void endpointsLoaded() {
		this.endpointsLoaded = true;
		this.endpointsAwaitedUntilMillis = Long.MIN_VALUE / 2;
	}

	private boolean awaitsEndpoints(long nowMillis) {
		return nowMillis < this.endpointsAwaitedUntilMillis;
	}

	private boolean isStartDelayed(long nowMillis) {
		return this.pools.isFrozen() || awaitsEndpoints(nowMillis) || this.drains.current().isEmpty()
				|| mayHaveBeenPaused(nowMillis);
	}

	/**
	 * Returns whether this process was paused until a moment ago, so that a message that
	 * is read now may have been sent before.
	 * @param nowMillis the time in milliseconds
	 * @return whether it may have been paused
	 */
	boolean mayHaveBeenPaused(long nowMillis) {
		return this.pauseGuard.delaysStarts(nowMillis, Clock.epochMillis());
	}

	/**
	 * Handles the word of a callers' host that it does not receive reports of this host.
	 * If this process was paused, that host has given up its jobs here.
	 * @param peerAddress the peer address of the host
	 */
	void reportsMissedBy(String peerAddress) {
		if (mayHaveBeenPaused(Clock.nowMillis())) {
			entryHostLost(peerAddress);
		}
	}

	void tick() {
		long nowMillis = Clock.nowMillis();
		if (this.pauseGuard.tick(nowMillis, Clock.epochMillis())) {
			this.registrar.paused();
			logger.atWarn()
				.addKeyValue("pools", pools())
				.addKeyValue("jobs", jobCount())
				.log("This process was paused, or its clock stepped; starts are delayed until peers were heard");
		}
		if (this.pools.isFrozen()) {
			return;
		}
		this.leases.tick(nowMillis);
		this.durableJobs.tick();
		this.scheduler.tick(nowMillis);
	}

	/**
	 * Returns the fencing token for commands to the endpoints of a pool.
	 * @param pool the name of the pool
	 * @return the token, or 0 if this host does not own the pool
	 */
	long token(String pool) {
		return this.pools.token(pool);
	}

	@Override
	public void start(EndpointEntry endpoint, TaskRun run, String payload, String checkpoint) {
		this.commands.start(endpoint, run, payload, checkpoint);
	}

	@Override
	public void stop(EndpointEntry endpoint, TaskRun run, String reason) {
		this.commands.stop(endpoint, run, reason);
	}

	@Override
	public void answer(PooledJob job, JobOutcome outcome) {
		this.decisionLog.answered(job, outcome, pools());
		if (job.spec().durable()) {
			this.eventLoop
				.execute(() -> this.durableJobs.jobs().occurrenceFinished(job, outcome, DurableJobManager.now()));
			return;
		}
		JobOrigin origin = job.origin();
		this.eventLoop.execute(() -> this.listener.jobAnswered(origin, job.spec().jobId(), outcome));
	}

	@Override
	public void orphanedRunTerminated(TerminationId termination, TerminatedRun terminatedRun) {
		this.eventLoop.execute(
				() -> this.listener.forwardOrphanedTermination(new PeerMessage.StrayEnd(termination, terminatedRun))
					.whenComplete((answer, error) -> {
						if (answer instanceof PeerMessage.Acknowledged && !this.pools.isFrozen()) {
							this.scheduler.orphanedTerminationRecorded(termination);
						}
					}));
	}

	@Override
	public void durableRunTerminated(String jobId, TerminationId termination) {
		this.durableJobs.jobs().runTerminated(jobId, termination, DurableJobManager.now());
	}

	@Override
	public void runLost(LostRun lostRun) {
		this.decisionLog.runLost(lostRun);
	}

	@Override
	public void endpointRestarted(EndpointEntry endpoint, long startedEpochMillis) {
		this.decisionLog.endpointRestarted(endpoint, startedEpochMillis);
	}

	@Override
	public void taskLossChanged(TaskLoss loss) {
		this.decisionLog.taskLossChanged(loss);
		this.lossExchange.record(loss);
		this.durableJobs.jobs().taskLossChanged(loss, DurableJobManager.now());
	}

	@Override
	public void restartDecided(TaskId task, RestartVerdict verdict, int crashCount, int unexplainedCount) {
		this.decisionLog.restartDecided(task, verdict, crashCount, unexplainedCount);
	}

	@Override
	public void jobHeld(PooledJob job, String reason) {
		this.decisionLog.jobHeld(job, reason);
	}

	/**
	 * Connects the registration of jobs with the scheduler and the callers.
	 */
	private final class RegisteredJobs implements OwnerJobs {

		@Override
		public boolean hasJob(String jobId) {
			return PoolOwner.this.scheduler.hasJob(jobId);
		}

		@Override
		public boolean mayRunByPreviousOwner(String jobId, long receivedMillis) {
			long nowMillis = Clock.nowMillis();
			return awaitsEndpoints(nowMillis)
					|| PoolOwner.this.scheduler.mayRunByPreviousOwner(jobId, receivedMillis, nowMillis);
		}

		@Override
		public boolean mayHaveBeenPaused() {
			return PoolOwner.this.mayHaveBeenPaused(Clock.nowMillis());
		}

		@Override
		public void run(JobSubmission submission) {
			long nowMillis = Clock.nowMillis();
			PoolOwner.this.scheduler.submit(submission.spec(), submission.termsAt(nowMillis), submission.origin(),
					nowMillis);
		}

		@Override
		public void answer(JobSubmission submission, JobOutcome outcome) {
			PoolOwner.this.listener.jobAnswered(submission.origin(), submission.jobId(), outcome);
		}

		@Override
		public void placedElsewhere(JobSubmission submission, String pool) {
			PoolOwner.this.listener.jobPlaced(submission.origin(), submission.jobId(), pool);
		}

	}

	/**
	 * Connects the durable jobs with the endpoints' leases, the scheduler and the
	 * callers.
	 */
	private final class DurableJobListener implements DurableJobManager.Listener {

		@Override
		public void terminationStored(TerminationId termination) {
			PoolOwner.this.scheduler.terminationStored(termination);
		}

		@Override
		public void submissionAnswered(JobOrigin origin, String jobId, JobOutcome outcome) {
			PoolOwner.this.listener.jobAnswered(origin, jobId, outcome);
		}

		@Override
		public void journalFenced(String pool) {
			if (!PoolOwner.this.pools.isFrozen() && owns(pool)) {
				PoolOwner.this.listener.poolFenced(pool);
			}
		}

		@Override
		public boolean mayHaveUnknownJobs() {
			return PoolOwner.this.listener.mayHaveUnknownDurableJobs();
		}

		@Override
		public boolean hasDurableJobs() {
			return PoolOwner.this.listener.hasSiteDurableJobs();
		}

		@Override
		public CompletableFuture<Void> storeDurableJobsMarker() {
			return PoolOwner.this.listener.storeDurableJobsMarker();
		}

		@Override
		public boolean mayHaveEndpoints(String pool) {
			return !PoolOwner.this.endpointsLoaded || PoolOwner.this.leases.hasEndpoints(pool);
		}

		@Override
		public boolean allEndpointsContactedSince(long sinceMillis) {
			return PoolOwner.this.endpointsLoaded && PoolOwner.this.pools.count() == PoolOwner.this.siteDomainCount
					&& PoolOwner.this.leases.allContactedSince(sinceMillis);
		}

		@Override
		public long lastContactMillis(String pool) {
			return PoolOwner.this.leases.lastContactMillis(pool);
		}

	}

}
