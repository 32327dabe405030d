package org.masticwick.fleet.process;

import java.util.HashMap;
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
import org.masticwick.core.pool.PoolActions;
import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.core.pool.PoolSettings;
import org.masticwick.core.pool.PoolTransfer;
import org.masticwick.core.pool.PooledJob;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.wire.PeerMessage;

/**
 * Owns one pool of endpoints or several, which it schedules as one: keeps their leases,
 * carries out what the scheduler decides, and brings it what the endpoints answer. All
 * calls come on the event loop.
 */
final class PoolOwner implements PoolActions {

	private static final Logger logger = LoggerFactory.getLogger(PoolOwner.class);

	/** The wait before an endpoint that can't be reached is asked again. */
	private static final long UNREACHABLE_RETRY_MILLIS = 100;

	/** Some times as long as the shared log takes to answer. */
	private static final long UNSTORED_RETRY_MILLIS = 15;

	/** As long as a renewal of a busy endpoint waits for ends. */
	private static final long UNRESOLVED_RETRY_MILLIS = 100;

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

	private boolean frozen;

	PoolOwner(EventLoop eventLoop, EndpointCalls calls, JobLog jobLog, List<String> domains, FleetMetrics metrics,
			Listener listener) {
		this.eventLoop = eventLoop;
		this.calls = calls;
		this.metrics = metrics;
		this.listener = listener;
		this.scheduler = new PoolScheduler(this.poolSettings, this);
		this.siteDomainCount = domains.size();
		this.durableJobs = new DurableJobManager(eventLoop, jobLog, domains, this.scheduler, new DurableJobListener());
		this.scheduler.recoveryStatus(this.durableJobs);
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
	}

	/**
	 * Loses a pool to another owner.
	 * @param pool the pool
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
	 * Orders nothing any more, as the pools are about to be handed over.
	 * @return what the next owner needs
	 */
	PoolTransfer freeze() {
		this.frozen = true;
		return this.scheduler.transfer(Clock.nowMillis());
	}

	/**
	 * Goes on, as the pools were not handed over.
	 */
	void unfreeze() {
		this.frozen = false;
		List.copyOf(this.leases.values()).stream().filter((lease) -> !lease.isRenewing()).forEach(this::renew);
	}

	/**
	 * Goes on with the jobs of the last owner.
	 * @param transfer what it handed over
	 */
	void adopt(PoolTransfer transfer) {
		transfer.endpoints().forEach(this::endpointListed);
		this.scheduler.adopt(transfer.jobs(), Clock.nowMillis());
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

	void cancel(String jobId, JobOrigin origin) {
		this.scheduler.cancel(jobId, origin, Clock.nowMillis());
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
	 * Returns since when the shared log does not take this owner's durable jobs.
	 * @return the time in milliseconds, or a negative number if it does or there are none
	 */
	long jobsUnwritableSinceMillis() {
		return hasDurableJobs() ? this.durableJobs.unwritableSinceMillis() : -1;
	}

	void entryHostLost(String hostName) {
		this.scheduler.entryHostLost(hostName, Clock.nowMillis());
	}

	/**
	 * Gives up all jobs and orders nothing any more.
	 */
	void close() {
		this.scheduler.abandonJobs(Clock.nowMillis());
		this.frozen = true;
		this.durableJobs.close();
	}

	/**
	 * Ends without giving up jobs, as another host goes on with them.
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

	void tick() {
		if (this.frozen) {
			return;
		}
		long nowMillis = Clock.nowMillis();
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
				.log("Endpoint reachability changed");
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
		boolean extendLease = busy && !lease.isUnresponsive(nowMillis, this.poolSettings.responseTimeoutMillis());
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
			// It would answer at once, with the same ends.
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
	 * Returns the token with which a pool is ordered.
	 * @param pool the pool
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
			.log("Order refused, as another owner has a higher fencing token");
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
			.log("Start ordered");
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
			.log("Start without an answer");
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
			.log("Start refused");
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
			.log("Stop ordered");
		this.calls.stop(endpoint, run, token(endpoint)).whenComplete((accepted, error) -> {
			if (error == null && accepted && !this.frozen) {
				this.scheduler.stopConfirmed(endpoint.id(), run, Clock.nowMillis());
			}
			else if (error != null) {
				logger.atDebug().addKeyValue("task", run).log("Stop without an answer");
			}
		});
	}

	@Override
	public void answer(PooledJob job, JobOutcome outcome) {
		logger.atInfo()
			.addKeyValue("job", job.spec().jobId())
			.addKeyValue("queue", job.terms().queue())
			.addKeyValue("version", job.terms().versionNumber())
			.addKeyValue("pools", pools())
			.addKeyValue("outcome", outcome.kind())
			.addKeyValue("reason", outcome.reason())
			.addKeyValue("took_ms", Clock.nowMillis() - job.arrivedMillis())
			.addKeyValue("expected_ms", Math.round(job.expectedMillis()))
			.addKeyValue("retry_after_ms", outcome.retryAfterMillis())
			.log("Job answered by its pool");
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

	private static CallException asCallException(Throwable error) {
		Throwable cause = CallException.unwrapped(error);
		if (cause instanceof CallException call) {
			return call;
		}
		return new CallException(CallException.Code.MALFORMED, String.valueOf(cause));
	}

	/**
	 * Hears what becomes of the jobs of a pool.
	 */
	interface Listener {

		/**
		 * Takes the final answer on a job.
		 * @param origin who waits for it
		 * @param jobId the job
		 * @param outcome the answer
		 */
		void jobAnswered(JobOrigin origin, String jobId, JobOutcome outcome);

		/**
		 * Takes note that another owner has a higher token.
		 * @param pool the pool that this host has been shut out of
		 */
		void poolFenced(String pool);

		/**
		 * Returns whether there may be durable jobs that this host does not know.
		 * @return {@code false} if other hosts have said that there are none
		 */
		boolean mayHaveUnknownDurableJobs();

		/**
		 * Tells the owner of a job of the end of a run that is not known here.
		 * @param message the end
		 * @return the answer of that owner
		 */
		CompletionStage<PeerMessage> forwardOrphanedTermination(PeerMessage.StrayEnd message);

	}

	/**
	 * Tells of the endpoints, and passes answers on.
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
			return PoolOwner.this.claims.size() == PoolOwner.this.siteDomainCount && PoolOwner.this.leases.values()
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
