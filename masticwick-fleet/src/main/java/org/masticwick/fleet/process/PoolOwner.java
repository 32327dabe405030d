package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
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
import org.masticwick.core.pool.SpilledJobs;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskLoss;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.version.DrainedDomainsHolder;
import org.masticwick.wire.PeerMessage;

/**
 * Owns one or more pools of endpoints and schedules them as one: renews the leases of the
 * endpoints, executes the decisions of the scheduler, and reports the answers of the
 * endpoints to it. Must be called on the event loop.
 */
final class PoolOwner implements PoolActions {

	private static final Logger logger = LoggerFactory.getLogger(PoolOwner.class);

	/** The delay of the next renewal after an endpoint was unreachable. */
	private static final long UNREACHABLE_RETRY_MILLIS = 100;

	/**
	 * The delay of the next renewal while the log stores terminations; the log answers in
	 * a fraction of it.
	 */
	private static final long UNSTORED_RETRY_MILLIS = 15;

	/**
	 * The delay of the next renewal while terminations can't be assigned to a job; the
	 * time for which a renewal of a busy endpoint waits for terminations.
	 */
	private static final long UNRESOLVED_RETRY_MILLIS = 100;

	/**
	 * How long a new owner waits for the endpoint list before it starts tasks with what
	 * it knew as a standby. The log answers in a fraction of it, also when it is slow.
	 */
	private static final long MAX_ENDPOINT_LOAD_MILLIS = 400;

	private final EventLoop eventLoop;

	private final EndpointCalls calls;

	private final Map<String, PoolClaim> claims = new TreeMap<>();

	private final LeaseSettings leaseSettings = LeaseSettings.defaults();

	private final PoolSettings poolSettings = PoolSettings.defaults();

	private final Listener listener;

	private final FleetMetrics metrics;

	private final PoolScheduler scheduler;

	private final Map<String, EndpointLease> leases = new HashMap<>();

	private final DurableJobManager durableJobs;

	private final int siteDomainCount;

	private final PauseGuard pauseGuard = new PauseGuard(Clock.nowMillis(), System.currentTimeMillis());

	private final LossExchange lossExchange;

	private final DrainedDomainsHolder drains;

	private long endpointsAwaitedUntilMillis = Clock.nowMillis() + MAX_ENDPOINT_LOAD_MILLIS;

	private final SpilledJobs spilledJobs = new SpilledJobs();

	private boolean endpointsLoaded;

	private boolean frozen;

	/** The callers' hosts that were lost while the pools were being handed over. */
	private final Set<String> hostsLostWhileFrozen = new HashSet<>();

	PoolOwner(EventLoop eventLoop, EndpointCalls calls, JobLog jobLog, List<String> domains, FleetMetrics metrics,
			LossExchange lossExchange, DrainedDomainsHolder drains, Listener listener) {
		this.eventLoop = eventLoop;
		this.calls = calls;
		this.metrics = metrics;
		this.listener = listener;
		this.lossExchange = lossExchange;
		this.drains = drains;
		this.scheduler = new PoolScheduler(this.poolSettings, this, lossExchange.history());
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
		if (this.frozen) {
			return;
		}
		this.drains.current().ifPresent((known) -> {
			this.scheduler.drainedDomains(known.domains(), Clock.nowMillis());
			this.claims.keySet().stream().filter(known::contains).forEach(this::logDrainedPool);
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
		return Set.copyOf(this.claims.keySet());
	}

	boolean owns(String pool) {
		return this.claims.containsKey(pool);
	}

	void addPool(PoolClaim claim) {
		this.claims.put(claim.pool(), claim);
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
		this.claims.remove(pool);
		this.durableJobs.removePool(pool);
		long nowMillis = Clock.nowMillis();
		List.copyOf(this.leases.values())
			.stream()
			.filter((lease) -> lease.entry().domain().equals(pool))
			.forEach((lease) -> {
				closeLease(lease);
				this.scheduler.endpointRevoked(lease.entry().id(), nowMillis);
			});
	}

	List<PoolReport> reports() {
		PoolLoad load = load();
		return this.claims.values()
			.stream()
			.map((claim) -> new PoolReport(claim.pool(), claim.fencingToken(), load))
			.toList();
	}

	PoolLoad load() {
		return this.scheduler.load(Clock.nowMillis());
	}

	boolean isFrozen() {
		return this.frozen;
	}

	/**
	 * Stops sending commands to endpoints, as the pools are about to be handed over.
	 * @return the jobs and endpoints that the next owner continues with
	 */
	PoolTransfer freeze() {
		this.frozen = true;
		return this.scheduler.transfer(Clock.nowMillis());
	}

	/**
	 * Resumes scheduling and renewals, as the handover failed.
	 */
	void unfreeze() {
		this.frozen = false;
		this.hostsLostWhileFrozen.forEach(this::entryHostLost);
		this.hostsLostWhileFrozen.clear();
		drainedDomainsChanged();
		List.copyOf(this.leases.values()).stream().filter((lease) -> !lease.isRenewing()).forEach(this::renew);
	}

	/**
	 * Continues the jobs of the previous owner. Its endpoints must be listed already.
	 * @param transfer the jobs and endpoints that it handed over
	 */
	void adopt(PoolTransfer transfer) {
		this.scheduler.adopt(transfer, Clock.nowMillis());
	}

	int jobCount() {
		return load().jobCount();
	}

	void submit(String pool, JobSpec job, JobTerms terms, JobOrigin origin) {
		if (job.durable()) {
			this.durableJobs.submit(pool, job, terms, origin);
			return;
		}
		this.scheduler.submit(job, terms, origin, Clock.nowMillis());
	}

	/**
	 * Decides which pool a copy of a job goes to that a host of an owned failure domain
	 * is about to send to another owner.
	 * @param ownPool the name of the pool of that domain
	 * @param message the job, and the pool that the host has selected
	 * @return the name of the pool
	 */
	String place(String ownPool, PeerMessage.PlaceJob message) {
		if (this.scheduler.hasJob(message.jobId())) {
			return ownPool;
		}
		return this.spilledJobs.place(message.jobId(), message.pool(), message.refusedBy(), Clock.nowMillis());
	}

	/**
	 * Returns the pool of another owner that a copy of a job went to.
	 * @param jobId the id of the job
	 * @return the name of the pool, or empty if the job may run here
	 */
	Optional<String> spilledTo(String jobId) {
		return this.spilledJobs.poolOf(jobId, Clock.nowMillis()).filter((pool) -> !owns(pool));
	}

	/**
	 * Cancels a job that its callers' host has given up.
	 * @param jobId the id of the job
	 * @param origin the call that waited for the answer
	 * @return whether the job was running or waiting here for this call
	 */
	boolean cancel(String jobId, JobOrigin origin) {
		return this.scheduler.cancel(jobId, origin, Clock.nowMillis());
	}

	/**
	 * Cancels the jobs of calls that their callers' host has given up. Does nothing while
	 * pools are handed over; the host repeats the calls in its next reports.
	 * @param peerAddress the peer address of the host
	 * @param callNumbers the numbers of the calls
	 */
	void cancelAbandoned(String peerAddress, List<Long> callNumbers) {
		if (!this.frozen && !callNumbers.isEmpty()) {
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
		if (this.frozen) {
			this.hostsLostWhileFrozen.add(peerAddress);
			return;
		}
		this.scheduler.entryHostLost(peerAddress, Clock.nowMillis());
	}

	/**
	 * Abandons all jobs and stops sending commands to endpoints.
	 */
	void close() {
		this.scheduler.abandonJobs(Clock.nowMillis());
		this.frozen = true;
		this.durableJobs.close();
	}

	/**
	 * Stops without abandoning jobs, as another host continues them.
	 */
	void discard() {
		this.frozen = true;
		this.durableJobs.close();
	}

	void endpointListed(EndpointEntry entry) {
		if (this.frozen || !owns(entry.domain())) {
			return;
		}
		this.scheduler.endpointListed(entry, Clock.nowMillis());
		EndpointLease lease = this.leases.get(entry.id());
		if (lease != null) {
			lease.setEntry(entry);
			return;
		}
		EndpointLease newLease = new EndpointLease(this.leaseSettings, entry);
		this.leases.put(entry.id(), newLease);
		renew(newLease);
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

	private boolean isStartDelayed(long nowMillis) {
		return this.frozen || nowMillis < this.endpointsAwaitedUntilMillis || this.drains.current().isEmpty()
				|| mayHaveBeenPaused(nowMillis);
	}

	/**
	 * Returns whether this process was paused until a moment ago, so that a message that
	 * is read now may have been sent before.
	 * @param nowMillis the time in milliseconds
	 * @return whether it may have been paused
	 */
	boolean mayHaveBeenPaused(long nowMillis) {
		return this.pauseGuard.delaysStarts(nowMillis, System.currentTimeMillis());
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
		if (this.pauseGuard.tick(nowMillis, System.currentTimeMillis())) {
			logger.atWarn()
				.addKeyValue("pools", pools())
				.addKeyValue("jobs", jobCount())
				.log("This process was paused, or its clock stepped; starts are delayed until peers were heard");
		}
		if (this.frozen) {
			return;
		}
		List.copyOf(this.leases.values()).forEach((lease) -> checkLease(lease, nowMillis));
		this.durableJobs.tick();
		this.scheduler.tick(nowMillis);
	}

	private void checkLease(EndpointLease lease, long nowMillis) {
		boolean unresponsive = lease.isUnresponsive(nowMillis, this.poolSettings.responseTimeoutMillis());
		if (lease.updateUnresponsive(unresponsive)) {
			logger.atInfo()
				.addKeyValue("pool", lease.entry().domain())
				.addKeyValue("endpoint", lease.entry().id())
				.addKeyValue("silent", unresponsive)
				.log("Endpoint responsiveness changed; renewals don't extend the lease of an unresponsive endpoint");
		}
		if (unresponsive && lease.pollExpiry(nowMillis)) {
			this.scheduler.leaseExpired(lease.entry().id(), nowMillis);
		}
	}

	private void renew(EndpointLease lease) {
		if (lease.isClosed() || this.frozen) {
			return;
		}
		lease.setRenewing(true);
		long nowMillis = Clock.nowMillis();
		String endpointId = lease.entry().id();
		boolean busy = this.scheduler.isBusy(endpointId);
		boolean extendLease = this.scheduler.mayExtendLease(endpointId)
				&& !lease.isUnresponsive(nowMillis, this.poolSettings.responseTimeoutMillis());
		long waitMillis = busy ? this.leaseSettings.busyWaitMillis() : this.leaseSettings.idleWaitMillis();
		OptionalLong leaseEndMillis = extendLease ? lease.renew(nowMillis) : OptionalLong.empty();
		this.metrics.leaseRenewed();
		this.calls
			.renew(lease.entry(), token(lease.entry()), this.scheduler.acknowledgedTerminationNumber(endpointId),
					leaseEndMillis, waitMillis, waitMillis + this.leaseSettings.timeoutMarginMillis())
			.whenComplete((report, error) -> handleRenewal(lease, nowMillis, report, error));
	}

	private void handleRenewal(EndpointLease lease, long requestedMillis, Optional<EndpointReport> report,
			Throwable error) {
		lease.setRenewing(false);
		if (lease.isClosed() || this.frozen) {
			return;
		}
		if (error != null) {
			handleRenewalFailure(lease, asCallException(error));
			return;
		}
		if (report.isEmpty()) {
			reportFenced(lease);
			return;
		}
		long nowMillis = Clock.nowMillis();
		lease.recordContact(report.get().clockMillis(), nowMillis);
		this.scheduler.endpointReported(lease.entry().id(), report.get(), requestedMillis, nowMillis);
		renewOrCloseLease(lease);
	}

	private void renewOrCloseLease(EndpointLease lease) {
		String endpointId = lease.entry().id();
		if (!this.scheduler.isTracked(endpointId)) {
			closeLease(lease);
		}
		else if (this.scheduler.hasUnstoredTerminations(endpointId)) {
			// The endpoint would answer at once with the same terminations.
			lease.setRenewing(true);
			long delayMillis = this.scheduler.hasUnresolvedTerminations(endpointId) ? UNRESOLVED_RETRY_MILLIS
					: UNSTORED_RETRY_MILLIS;
			this.eventLoop.schedule(() -> renew(lease), delayMillis, TimeUnit.MILLISECONDS);
		}
		else {
			renew(lease);
		}
	}

	private void closeLease(EndpointLease lease) {
		lease.close();
		this.leases.remove(lease.entry().id());
	}

	private long token(EndpointEntry endpoint) {
		return token(endpoint.domain());
	}

	/**
	 * Returns the fencing token for commands to the endpoints of a pool.
	 * @param pool the name of the pool
	 * @return the token, or 0 if this host does not own the pool
	 */
	long token(String pool) {
		PoolClaim claim = this.claims.get(pool);
		return (claim != null) ? claim.fencingToken() : 0;
	}

	private void handleRenewalFailure(EndpointLease lease, CallException error) {
		this.metrics.renewalFailed();
		if (error.code() == CallException.Code.TIMEOUT) {
			renew(lease);
			return;
		}
		lease.setRenewing(true);
		this.eventLoop.schedule(() -> renewOrCloseLease(lease), UNREACHABLE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void reportFenced(EndpointLease lease) {
		String pool = lease.entry().domain();
		if (this.frozen || !owns(pool)) {
			return;
		}
		logger.atWarn()
			.addKeyValue("pool", pool)
			.addKeyValue("endpoint", lease.entry().id())
			.addKeyValue("token", token(lease.entry()))
			.log("Endpoint refused a command, as another owner has a higher fencing token; the pool is dropped");
		this.listener.poolFenced(pool);
	}

	@Override
	public void start(EndpointEntry endpoint, TaskRun run, String payload, String checkpoint) {
		EndpointLease lease = this.leases.get(endpoint.id());
		long nowMillis = Clock.nowMillis();
		OptionalLong leaseEndMillis = lease.renew(nowMillis);
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpoint.id())
			.addKeyValue("token", token(endpoint))
			.log("Requesting an endpoint to start a task");
		this.metrics.startOrdered();
		this.calls.start(endpoint, run, payload, checkpoint, token(endpoint), leaseEndMillis.orElse(0))
			.whenComplete((refusal, error) -> handleStartAnswer(lease, run, refusal, error));
	}

	private void handleStartAnswer(EndpointLease lease, TaskRun run, Optional<StartRefusal> refusal, Throwable error) {
		if (this.frozen) {
			return;
		}
		String endpointId = lease.entry().id();
		long nowMillis = Clock.nowMillis();
		if (error != null) {
			handleStartFailure(endpointId, run, asCallException(error), nowMillis);
		}
		else if (refusal.isEmpty()) {
			this.scheduler.startAccepted(endpointId, run, nowMillis);
		}
		else {
			handleStartRefusal(lease, run, refusal.get(), nowMillis);
		}
	}

	private void handleStartFailure(String endpointId, TaskRun run, CallException error, long nowMillis) {
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpointId)
			.addKeyValue("reason", error.code())
			.log("Start request failed without an answer of the endpoint");
		if (error.code() == CallException.Code.NOT_SENT) {
			this.scheduler.startRefused(endpointId, run, StartRefusal.NOT_SENT, nowMillis);
		}
		else {
			this.scheduler.startUnanswered(endpointId, run, nowMillis);
		}
	}

	private void handleStartRefusal(EndpointLease lease, TaskRun run, StartRefusal refusal, long nowMillis) {
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", lease.entry().id())
			.addKeyValue("reason", refusal)
			.log("Endpoint refused to start a task");
		this.metrics.startRefused(refusal);
		this.scheduler.startRefused(lease.entry().id(), run, refusal, nowMillis);
		if (refusal == StartRefusal.FENCED) {
			reportFenced(lease);
		}
	}

	@Override
	public void stop(EndpointEntry endpoint, TaskRun run, String reason) {
		this.metrics.stopOrdered();
		logger.atInfo()
			.addKeyValue("job", run.task().jobId())
			.addKeyValue("task", run)
			.addKeyValue("endpoint", endpoint.id())
			.addKeyValue("reason", reason)
			.log("Requesting an endpoint to stop a task");
		this.calls.stop(endpoint, run, token(endpoint)).whenComplete((accepted, error) -> {
			if (error == null && accepted && !this.frozen) {
				this.scheduler.stopConfirmed(endpoint.id(), run, Clock.nowMillis());
			}
			else if (error != null) {
				logger.atDebug().addKeyValue("task", run).log("Stop request failed without an answer of the endpoint");
			}
		});
	}

	@Override
	public void answer(PooledJob job, JobOutcome outcome) {
		if (outcome.kind() == JobOutcome.Kind.REFUSED) {
			this.metrics.jobRefused(outcome, job.terms().priority());
		}
		logger.atInfo()
			.addKeyValue("job", job.spec().jobId())
			.addKeyValue("queue", job.terms().queue())
			.addKeyValue("priority", job.terms().priority())
			.addKeyValue("version", job.terms().versionNumber())
			.addKeyValue("pools", pools())
			.addKeyValue("outcome", outcome.kind())
			.addKeyValue("reason", outcome.reason())
			.addKeyValue("took_ms", Clock.nowMillis() - job.arrivedMillis())
			.addKeyValue("expected_ms", Math.round(job.expectedMillis()))
			.addKeyValue("retry_after_ms", outcome.retryAfterMillis())
			.log("Pool answered a job");
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
						if (answer instanceof PeerMessage.Acknowledged && !this.frozen) {
							this.scheduler.orphanedTerminationRecorded(termination);
						}
					}));
	}

	@Override
	public void durableRunTerminated(PooledJob job, TerminationId termination) {
		this.durableJobs.jobs().runTerminated(job, termination, DurableJobManager.now());
	}

	@Override
	public void runLost(LostRun lostRun) {
		this.metrics.runLost(lostRun.cause());
		logger.atInfo()
			.addKeyValue("job", lostRun.run().task().jobId())
			.addKeyValue("task", lostRun.run())
			.addKeyValue("endpoint", lostRun.endpoint().id())
			.addKeyValue("cause", lostRun.cause())
			.addKeyValue("after_ms", lostRun.runMillis())
			.addKeyValue("other_runs", lostRun.otherRunCount())
			.log("Run lost together with its endpoint");
	}

	@Override
	public void endpointRestarted(EndpointEntry endpoint, long startedEpochMillis) {
		this.metrics.endpointRestarted();
		logger.atInfo()
			.addKeyValue("pool", endpoint.domain())
			.addKeyValue("endpoint", endpoint.id())
			.addKeyValue("started_epoch_ms", startedEpochMillis)
			.log("Endpoint restarted; all its runs are lost");
	}

	@Override
	public void taskLossChanged(TaskLoss loss) {
		logger.atInfo()
			.addKeyValue("job", loss.run().task().jobId())
			.addKeyValue("task", loss.run())
			.addKeyValue("endpoint", loss.endpoint().endpointId())
			.addKeyValue("address", loss.endpoint().address())
			.addKeyValue("state", loss.state())
			.addKeyValue("attributable", loss.attributable())
			.log("Loss of an endpoint counted against a task");
		this.lossExchange.record(loss);
		this.durableJobs.jobs().taskLossChanged(loss, DurableJobManager.now());
	}

	@Override
	public void restartDecided(TaskId task, RestartVerdict verdict, int crashCount, int unexplainedCount) {
		this.metrics.restartDecided(verdict);
		logger.atInfo()
			.addKeyValue("job", task.jobId())
			.addKeyValue("task", task)
			.addKeyValue("verdict", verdict)
			.addKeyValue("crashes", crashCount)
			.addKeyValue("unexplained", unexplainedCount)
			.log("Restart of a task decided after endpoints were lost under it");
	}

	private static CallException asCallException(Throwable error) {
		Throwable cause = CallException.unwrap(error);
		if (cause instanceof CallException call) {
			return call;
		}
		return new CallException(CallException.Code.MALFORMED, String.valueOf(cause));
	}

	/**
	 * Receives the answers to jobs, and connects the owner with the other hosts.
	 */
	interface Listener {

		/**
		 * Delivers the answer to a job.
		 * @param origin the entry host and the call that wait for the answer
		 * @param jobId the id of the job
		 * @param outcome the answer
		 */
		void jobAnswered(JobOrigin origin, String jobId, JobOutcome outcome);

		/**
		 * Reports that another owner of a pool has a higher fencing token.
		 * @param pool the name of the pool, which this host owns no longer
		 */
		void poolFenced(String pool);

		/**
		 * Returns whether durable jobs may exist that this host has not read.
		 * @return {@code false} if this host has seen none, and an owner has reported
		 * while no peer has seen any
		 */
		boolean mayHaveUnknownDurableJobs();

		/**
		 * Forwards the termination of an orphaned run to the owner of its job.
		 * @param message the termination
		 * @return the answer of that owner
		 */
		CompletionStage<PeerMessage> forwardOrphanedTermination(PeerMessage.StrayEnd message);

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
			if (!PoolOwner.this.frozen && owns(pool)) {
				PoolOwner.this.listener.poolFenced(pool);
			}
		}

		@Override
		public boolean mayHaveUnknownJobs() {
			return PoolOwner.this.listener.mayHaveUnknownDurableJobs();
		}

		@Override
		public boolean allEndpointsContactedSince(long sinceMillis) {
			return PoolOwner.this.endpointsLoaded && PoolOwner.this.claims.size() == PoolOwner.this.siteDomainCount
					&& PoolOwner.this.leases.values()
						.stream()
						.allMatch((lease) -> lease.lastContactMillis() > sinceMillis);
		}

		@Override
		public long lastContactMillis(String pool) {
			return leasesOf(pool).mapToLong(EndpointLease::lastContactMillis).max().orElse(Long.MIN_VALUE / 2);
		}

		private Stream<EndpointLease> leasesOf(String pool) {
			return PoolOwner.this.leases.values().stream().filter((lease) -> lease.entry().domain().equals(pool));
		}

	}

}
