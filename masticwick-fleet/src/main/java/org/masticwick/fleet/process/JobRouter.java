package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.AssignedPool;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobStatus;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.PauseGuard;
import org.masticwick.core.pool.PoolSelector;
import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.request.CallerExchange;
import org.masticwick.fleet.request.CallerFormat;
import org.masticwick.fleet.request.CallerReply;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Routes the jobs of this host's callers to pools and the answers back to the callers. A
 * job that a pool has certainly not run may be sent to another pool; one that may have
 * run never is.
 */
final class JobRouter {

	private static final Logger logger = LoggerFactory.getLogger(JobRouter.class);

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int BAD_GATEWAY = 502;

	private static final int MAX_POOLS_TRIED = 2;

	/** Owners may name pools in turn whose jobs end meanwhile. */
	private static final int MAX_FOLLOWED_COPIES = 3;

	/** How long a job waits until a pool has a reachable owner. */
	private static final long OWNER_WAIT_MILLIS = 900;

	private static final long OWNER_RETRY_MILLIS = 40;

	/**
	 * The calls of an incarnation of this host are numbered from the time of its start,
	 * so that no number is used by two of them: an owner may still run jobs of the
	 * previous one. This is the number of bits for the calls of a millisecond.
	 */
	private static final int CALL_NUMBER_BITS = 16;

	private static final long NO_OWNER_RETRY_AFTER_MILLIS = 1_000;

	private final EventLoop eventLoop;

	private final MemberRecord self;

	private final List<String> domains;

	private final PoolDirectory directory;

	private final CallerFormat format;

	private final FleetMetrics metrics;

	private final PoolSelector poolSelector = new PoolSelector();

	private final Map<Long, RoutedJob> pendingJobs = new HashMap<>();

	private final AbandonedCalls abandonedCalls = new AbandonedCalls();

	private PeerTransport transport;

	private PeerReporter reporter;

	private long nextCallNumber;

	private boolean durableJobsSeen;

	private final PauseGuard pauseGuard = new PauseGuard(Clock.nowMillis(), Clock.epochMillis());

	JobRouter(EventLoop eventLoop, MemberRecord self, List<String> domains, PoolDirectory directory,
			CallerFormat format, FleetMetrics metrics) {
		this.domains = domains;
		this.eventLoop = eventLoop;
		this.self = self;
		this.directory = directory;
		this.format = format;
		this.metrics = metrics;
		this.nextCallNumber = self.incarnation().startEpochMillis() << CALL_NUMBER_BITS;
	}

	void transport(PeerTransport peerTransport) {
		this.transport = peerTransport;
	}

	void reporter(PeerReporter peerReporter) {
		this.reporter = peerReporter;
	}

	/**
	 * Returns the peers that run jobs of this host's callers.
	 * @return their peer addresses
	 */
	Set<HostAddress> pendingOwners() {
		return this.pendingJobs.values()
			.stream()
			.map((routed) -> routed.owner)
			.filter(Objects::nonNull)
			.collect(Collectors.toSet());
	}

	int pendingCount() {
		return this.pendingJobs.size();
	}

	/**
	 * Returns whether a caller of this host has submitted a durable job.
	 * @return whether one has
	 */
	boolean hasSeenDurableJobs() {
		return this.durableJobsSeen;
	}

	void route(JobSpec job, JobTerms terms, CallerExchange exchange) {
		this.durableJobsSeen |= job.durable();
		RoutedJob routed = new RoutedJob(this.nextCallNumber++, job, terms, exchange, Clock.nowMillis());
		this.pendingJobs.put(routed.callNumber, routed);
		exchange.onDisconnect(() -> callerDisconnected(routed));
		submit(routed);
	}

	/**
	 * Records that the periodic work runs.
	 */
	void tick() {
		this.pauseGuard.tick(Clock.nowMillis(), Clock.epochMillis());
	}

	// If this process was paused, the caller may have left meanwhile, which is read after
	// its request.
	private void submit(RoutedJob routed) {
		if (!this.pendingJobs.containsKey(routed.callNumber)) {
			return;
		}
		long nowMillis = Clock.nowMillis();
		if (!routed.job.durable() && this.pauseGuard.delaysStarts(nowMillis, Clock.epochMillis())) {
			this.eventLoop.schedule(() -> submit(routed), OWNER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		List<PoolSelector.Candidate> candidates = candidates(routed, nowMillis);
		Optional<PoolSelector.Candidate> chosen = this.poolSelector.select(candidates, routed.peakMillicores(),
				routed.triedPools);
		if (chosen.isEmpty()) {
			handleNoPool(routed, nowMillis);
			return;
		}
		String pool = chosen.get().pool();
		routed.pool = pool;
		routed.triedPools.add(pool);
		logger.atInfo()
			.addKeyValue("job", routed.job.jobId())
			.addKeyValue("queue", routed.terms.queue())
			.addKeyValue("version", routed.terms.versionNumber())
			.addKeyValue("budget_ms", routed.terms.budgetMillis())
			.addKeyValue("pool", pool)
			.addKeyValue("free_millicores", chosen.get().freeMillicores())
			.addKeyValue("backlog_ms", Math.round(chosen.get().backlogMillis()))
			.addKeyValue("pools", candidates.size())
			.log("Job sent to a pool");
		send(routed, pool, nowMillis);
	}

	private List<PoolSelector.Candidate> candidates(RoutedJob routed, long nowMillis) {
		if (!routed.job.durable()) {
			return this.directory.candidates(nowMillis);
		}
		return this.directory.candidate(AssignedPool.of(routed.job.jobId(), this.domains), nowMillis).stream().toList();
	}

	private void handleNoPool(RoutedJob routed, long nowMillis) {
		boolean waitedInVain = nowMillis - routed.receivedMillis >= OWNER_WAIT_MILLIS;
		if (routed.followsCopy && (waitedInVain || routed.lastRefusal != null)) {
			giveUp(routed, "placed-elsewhere");
		}
		else if (routed.lastRefusal != null) {
			answer(routed, routed.lastRefusal);
		}
		else if (waitedInVain) {
			answer(routed, new JobOutcome(JobOutcome.Kind.REFUSED, NO_OWNER_RETRY_AFTER_MILLIS, "no-pool-owner"));
		}
		else {
			this.eventLoop.schedule(() -> submit(routed), OWNER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void send(RoutedJob routed, String pool, long nowMillis) {
		JobTerms terms = routed.termsAt(nowMillis);
		routed.owner = null;
		Optional<PoolOwner> localOwner = this.directory.localOwnerOf(pool).filter((owner) -> !owner.isFrozen());
		if (localOwner.isPresent()) {
			localOwner.get().submit(pool, routed.job, terms, origin(routed), routed.refusedBy);
			return;
		}
		Optional<HostAddress> owner = this.directory.ownerAddress(pool);
		if (owner.isEmpty()) {
			handleNoPool(routed, nowMillis);
			return;
		}
		routed.owner = owner.get();
		this.directory.recordSent(pool, routed.peakMillicores());
		this.reporter.recordSharedWork(owner.get(), nowMillis);
		PeerMessage.SubmitJob submission = new PeerMessage.SubmitJob(pool, routed.callNumber, routed.job, terms,
				routed.refusedBy);
		this.transport.call(owner.get(), submission)
			.whenComplete((message, error) -> handlePeerAnswer(routed, message, error));
	}

	/**
	 * Sends a job to the pool that an earlier copy of it went to.
	 * @param callNumber the number of the call
	 * @param pool the name of the pool
	 */
	void jobPlaced(long callNumber, String pool) {
		RoutedJob routed = this.pendingJobs.get(callNumber);
		if (routed != null) {
			follow(routed, pool);
		}
	}

	private void follow(RoutedJob routed, String placedPool) {
		if (!this.pendingJobs.containsKey(routed.callNumber)) {
			return;
		}
		logger.atInfo()
			.addKeyValue("job", routed.job.jobId())
			.addKeyValue("selected", routed.pool)
			.addKeyValue("pool", placedPool)
			.addKeyValue("after_ms", Clock.nowMillis() - routed.receivedMillis)
			.log("Job follows an earlier copy of it to another pool");
		routed.followsCopy = true;
		routed.followCount++;
		if (placedPool.equals(routed.refusedBy) || routed.followCount > MAX_FOLLOWED_COPIES) {
			giveUp(routed, "placed-elsewhere");
			return;
		}
		routed.pool = placedPool;
		routed.triedPools.add(placedPool);
		send(routed, placedPool, Clock.nowMillis());
	}

	private void handlePeerAnswer(RoutedJob routed, PeerMessage message, Throwable error) {
		if (routed.handedOver && !(message instanceof PeerMessage.JobAnswer)) {
			return;
		}
		if (message instanceof PeerMessage.JobAnswer jobAnswer) {
			handleOutcome(routed, jobAnswer.outcome());
		}
		else if (message instanceof PeerMessage.JobPlaced placed) {
			follow(routed, placed.pool());
		}
		else if (error != null && !mayHaveBeenSent(error)) {
			handleUnsent(routed);
		}
		else {
			giveUp(routed, "owner-lost");
		}
	}

	// An owner that was not reached has refused nothing: it may run an earlier copy.
	private void handleUnsent(RoutedJob routed) {
		JobOutcome outcome = JobOutcome.of(JobOutcome.Kind.REFUSED, "owner-unreachable");
		if (routed.followsCopy) {
			giveUp(routed, outcome.reason());
		}
		else if (routed.triedPools.size() < MAX_POOLS_TRIED) {
			routed.lastRefusal = outcome;
			submit(routed);
		}
		else {
			answer(routed, outcome);
		}
	}

	private static boolean mayHaveBeenSent(Throwable error) {
		Throwable cause = CallException.unwrap(error);
		return !(cause instanceof PeerException peer) || peer.mayHaveBeenSent();
	}

	/**
	 * Applies the answer of a pool that this host owns, or of an owner that continued the
	 * job.
	 * @param callNumber the number of the call
	 * @param outcome the answer
	 */
	void jobAnswered(long callNumber, JobOutcome outcome) {
		RoutedJob routed = this.pendingJobs.get(callNumber);
		if (routed != null) {
			handleOutcome(routed, outcome);
		}
	}

	/**
	 * Records that another host has assumed ownership of jobs and will answer them.
	 * @param callNumbers the numbers of their calls
	 * @param owner the peer address of that host
	 */
	void jobsMoved(List<Long> callNumbers, HostAddress owner) {
		callNumbers.stream().map(this.pendingJobs::get).filter(Objects::nonNull).forEach((routed) -> {
			routed.handedOver = true;
			routed.owner = owner.equals(this.self.peerAddress()) ? null : owner;
		});
		this.reporter.recordSharedWork(pendingOwners(), Clock.nowMillis());
	}

	/**
	 * Answers the jobs that were handed over to a lost host as uncertain, as they may
	 * have run.
	 * @param peer the peer address of the host
	 */
	void peerLost(HostAddress peer) {
		List.copyOf(this.pendingJobs.values())
			.stream()
			.filter((routed) -> routed.handedOver && peer.equals(routed.owner))
			.forEach((routed) -> giveUp(routed, "owner-lost"));
	}

	/**
	 * Answers all pending jobs as uncertain, as the process is about to stop.
	 */
	void abandonAll() {
		List.copyOf(this.pendingJobs.values()).forEach((routed) -> giveUp(routed, "host-stops"));
	}

	/**
	 * Answers a job as uncertain that its owner may still run, and cancels it there.
	 * @param routed the job
	 * @param reason the reason, for the log
	 */
	private void giveUp(RoutedJob routed, String reason) {
		if (this.pendingJobs.containsKey(routed.callNumber)) {
			cancel(routed);
			answer(routed, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, reason));
		}
	}

	/**
	 * Returns the calls whose jobs this host has given up, for its reports.
	 * @param nowMillis the time in milliseconds
	 * @return the numbers of the calls that no owner has confirmed to have ended
	 */
	List<Long> abandonedCalls(long nowMillis) {
		return this.abandonedCalls.listed(nowMillis);
	}

	private void handleOutcome(RoutedJob routed, JobOutcome outcome) {
		if (outcome.kind() == JobOutcome.Kind.NOT_OWNER && this.pendingJobs.containsKey(routed.callNumber)) {
			routed.triedPools.clear();
			routed.followCount = 0;
			handleNoPool(routed, Clock.nowMillis());
			return;
		}
		boolean refused = outcome.kind() == JobOutcome.Kind.REFUSED;
		if (refused && routed.triedPools.size() < MAX_POOLS_TRIED) {
			routed.lastRefusal = outcome;
			routed.refusedBy = routed.pool;
			submit(routed);
		}
		else {
			answer(routed, outcome);
		}
	}

	private void answer(RoutedJob routed, JobOutcome outcome) {
		if (this.pendingJobs.remove(routed.callNumber) == null) {
			return;
		}
		long responseMillis = Clock.nowMillis() - routed.receivedMillis;
		CallerReply reply = reply(outcome);
		this.metrics.jobAnswered(outcome.kind(), responseMillis);
		logger.atInfo()
			.addKeyValue("job", routed.job.jobId())
			.addKeyValue("queue", routed.terms.queue())
			.addKeyValue("pool", routed.pool)
			.addKeyValue("outcome", outcome.kind())
			.addKeyValue("reason", outcome.reason())
			.addKeyValue("status", reply.status())
			.addKeyValue("took_ms", responseMillis)
			.log("Caller's job answered");
		routed.exchange.reply(reply);
	}

	private CallerReply reply(JobOutcome outcome) {
		return switch (outcome.kind()) {
			case ACCEPTED -> new CallerReply(OK, this.format.writeJobStatus(JobStatus.PENDING), 0);
			case COMPLETED -> new CallerReply(OK, this.format.writeOutcome(true), 0);
			case FAILED -> new CallerReply(OK, this.format.writeOutcome(false), 0);
			case REFUSED -> CallerReply.retryLater(UNAVAILABLE, Math.max(1, outcome.retryAfterMillis()));
			case UNCERTAIN -> CallerReply.of(BAD_GATEWAY);
			case NOT_OWNER -> CallerReply.retryLater(UNAVAILABLE, NO_OWNER_RETRY_AFTER_MILLIS);
		};
	}

	private void callerDisconnected(RoutedJob routed) {
		if (this.pendingJobs.remove(routed.callNumber) == null) {
			return;
		}
		logger.atInfo()
			.addKeyValue("job", routed.job.jobId())
			.addKeyValue("pool", routed.pool)
			.addKeyValue("after_ms", Clock.nowMillis() - routed.receivedMillis)
			.log("Caller disconnected before the answer; a job that is not durable is cancelled");
		cancel(routed);
	}

	// The job may have another owner by now, so reports list the call until an owner has
	// confirmed that it has ended the job.
	private void cancel(RoutedJob routed) {
		if (routed.job.durable() || routed.pool == null) {
			return;
		}
		this.abandonedCalls.add(routed.callNumber, Clock.nowMillis());
		if (routed.owner == null) {
			this.directory.localOwner()
				.filter((owner) -> !owner.isFrozen() && owner.cancel(routed.job.jobId(), origin(routed)))
				.ifPresent((owner) -> this.abandonedCalls.confirm(routed.callNumber));
			return;
		}
		this.transport.call(routed.owner, new PeerMessage.CancelJob(routed.pool, routed.callNumber, routed.job.jobId()))
			.whenComplete((message, error) -> {
				if (message instanceof PeerMessage.Acknowledged) {
					this.abandonedCalls.confirm(routed.callNumber);
				}
			});
	}

	private JobOrigin origin(RoutedJob routed) {
		return new JobOrigin(this.self.peerAddress().toString(), routed.callNumber);
	}

	/**
	 * A job that waits for its answer, with the pool and the owner that it was sent to.
	 */
	private static final class RoutedJob {

		private final long callNumber;

		private final JobSpec job;

		private final JobTerms terms;

		private final CallerExchange exchange;

		private final long receivedMillis;

		private final Set<String> triedPools = new HashSet<>();

		private String pool;

		private HostAddress owner;

		private boolean handedOver;

		/**
		 * Whether an owner has named the pool of an earlier copy, which may run there.
		 */
		private boolean followsCopy;

		/** How often owners have done so since the last one that had lost its pools. */
		private int followCount;

		private JobOutcome lastRefusal;

		/** The pool that has refused this copy, or an empty string. */
		private String refusedBy = "";

		private RoutedJob(long callNumber, JobSpec job, JobTerms terms, CallerExchange exchange, long receivedMillis) {
			this.callNumber = callNumber;
			this.job = job;
			this.terms = terms;
			this.exchange = exchange;
			this.receivedMillis = receivedMillis;
		}

		private long peakMillicores() {
			return this.job.steps()
				.stream()
				.mapToLong((step) -> step.taskCount() * step.demand().cpuMillicores())
				.max()
				.orElse(0);
		}

		private JobTerms termsAt(long nowMillis) {
			return this.terms.afterWait(nowMillis - this.receivedMillis);
		}

	}

}
