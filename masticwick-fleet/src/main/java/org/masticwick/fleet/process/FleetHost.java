package org.masticwick.fleet.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.AssignedPool;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.connection.CallerServer;
import org.masticwick.fleet.connection.EndpointCalls;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;
import org.masticwick.fleet.connection.TopicFollower;
import org.masticwick.fleet.request.CallerFormat;
import org.masticwick.fleet.version.DrainedDomains;
import org.masticwick.fleet.version.DrainedDomainsHolder;
import org.masticwick.fleet.version.SiteFormat;
import org.masticwick.fleet.version.VersionHolder;
import org.masticwick.wire.NettyPeerTransport;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessageHandler;
import org.masticwick.wire.PeerTransport;
import org.masticwick.wire.PeerTransportSettings;

/**
 * An entry host: assembles its parts, which all run on one event loop, passes messages
 * and records to them, and runs their periodic work.
 */
public final class FleetHost implements PeerMessageHandler, PoolOwnerListener {

	private static final Logger logger = LoggerFactory.getLogger(FleetHost.class);

	/** The interval of timeout checks, claims, handovers and scheduling passes. */
	private static final long TICK_INTERVAL_MILLIS = 50;

	/**
	 * A read for a new version waits for half of the time that a change may take to
	 * become active.
	 */
	private static final TopicFollower.PollPolicy VERSION_PACE = TopicFollower.PollPolicy.longPoll(1_000);

	private static final TopicFollower.PollPolicy MEMBER_PACE = TopicFollower.PollPolicy.longPoll(1_000);

	private final EventLoopGroup eventLoops;

	private final EventLoop eventLoop;

	private final FleetSettings settings;

	private final MemberRecord self;

	private final SharedLog log;

	private final FleetMetrics metrics = new FleetMetrics();

	private final VersionHolder versions;

	private final DrainedDomainsHolder drains;

	private final PeerTable peers;

	private final LossExchange lossExchange = new LossExchange();

	private final PoolDirectory directory;

	private final PoolOwnership ownership;

	private final PoolHandover handover;

	private final JobRouter router;

	private final TopicFollower versionFollower;

	private final TopicFollower memberFollower;

	private final MemberRecords memberRecords;

	private final DurableJobsMarker durableJobsMarker;

	private final EndpointRecords endpointRecords;

	private final JobQueries jobQueries;

	private final RequestHandler requestHandler;

	private final CallerServer callerServer;

	private final CallerServer operatorServer;

	private final PeerJobs peerJobs;

	private PeerTransport transport;

	private UnaryOperator<PeerTransport> transportDecorator = UnaryOperator.identity();

	private final PeerReporter reporter;

	private final VersionExchange versionExchange;

	private final PeerMessageDispatcher messageDispatcher;

	private final GracefulStop stop;

	/**
	 * Creates a host without starting it.
	 * @param eventLoops a group with one event loop, which the host shuts down at its end
	 * @param settings the settings
	 * @param entryHost the identity of this incarnation of the host
	 * @param log the client of the shared topics of the log
	 * @param jobLog the client of the partitions of the log that store durable jobs
	 * @param endpointCalls the client of the endpoints
	 * @param siteFormat the format of published versions and entries of endpoints
	 * @param callerFormat the format of callers' requests and answers
	 */
	public FleetHost(EventLoopGroup eventLoops, FleetSettings settings, EntryHost entryHost, SharedLog log,
			JobLog jobLog, EndpointCalls endpointCalls, SiteFormat siteFormat, CallerFormat callerFormat) {
		this.eventLoops = eventLoops;
		this.eventLoop = eventLoops.next();
		this.settings = settings;
		this.log = log;
		this.self = new MemberRecord(settings.hostName(), settings.domain(), settings.peerAddress(),
				entryHost.incarnation(), settings.processorMillicores());
		this.versions = new VersionHolder(siteFormat);
		this.drains = new DrainedDomainsHolder(siteFormat, this::drainedDomainsChanged);
		this.peers = new PeerTable(Clock.nowMillis());
		this.directory = new PoolDirectory(this.self, this.peers, this.drains::isDrained);
		this.router = new JobRouter(this.eventLoop, this.self, settings.domains(), this.directory, callerFormat,
				this.metrics);
		this.versionFollower = follower(SharedTopic.OPERATORS, VERSION_PACE,
				new OperatorRecords(siteFormat.versionKey(), this.versions, this.drains));
		this.memberFollower = follower(SharedTopic.MEMBERS, MEMBER_PACE, new MemberRecordListener());
		this.durableJobsMarker = new DurableJobsMarker(this.eventLoop, log);
		OwnerReachability ownerReachability = new OwnerReachability(this.directory);
		PeerOwners siteOwners = new PeerOwners(settings.peerAddress(), settings.domains(), this.directory, this.peers,
				ownerReachability, () -> this.transport);
		this.ownership = new PoolOwnership(this.eventLoop, this.self, settings.domains(), this.peers, this.directory,
				log, siteFormat, this.metrics,
				(domains) -> new PoolOwner(this.eventLoop, endpointCalls, jobLog, domains, this.metrics,
						this.lossExchange, this.drains, siteOwners, this),
				this.memberFollower, ownerReachability, settings.firstStart());
		this.ownership.endpointProbe(new EndpointProbe(endpointCalls));
		this.reporter = new PeerReporter(this.self, this.peers, this.directory, this.ownership::isSingleOwnerSite,
				this::hostState);
		this.router.reporter(this.reporter);
		this.versionExchange = new VersionExchange(this.versions, () -> this.transport);
		this.peerJobs = new PeerJobs(this.eventLoop, this.directory, this.peers, this.reporter, () -> this.transport);
		this.handover = new PoolHandover(this.eventLoop, this.self, this.peers, this.directory, this.ownership,
				this.router);
		this.memberRecords = new MemberRecords(this.eventLoop, log, this.self, this.peers, this.ownership,
				this.durableJobsMarker, this::peerLost);
		this.endpointRecords = new EndpointRecords(this.eventLoop, log, this.directory, this.ownership);
		this.jobQueries = new JobQueries(this.eventLoop, this.self.peerAddress(), this.directory, settings.domains(),
				callerFormat);
		this.requestHandler = new RequestHandler(this.versions, this.router, this.jobQueries, callerFormat,
				this::isReady, this::isRefusingJobs, this.metrics);
		HostReports hostReports = new HostReports(this.peers, this.directory, this.ownership, this.reporter,
				this.lossExchange, this.drains, this.versionExchange);
		this.messageDispatcher = new PeerMessageDispatcher(this.peers, hostReports, this.versionExchange, this.peerJobs,
				this.jobQueries, this.handover, this.router, this.lossExchange, this::peerLost);
		this.callerServer = new CallerServer(this.eventLoop, callerFormat.timeoutHeader(),
				this.requestHandler::handleCallerRequest);
		this.operatorServer = new CallerServer(this.eventLoop, callerFormat.timeoutHeader(),
				this.requestHandler::handleOperatorRequest);
		this.stop = new GracefulStop(eventLoops, settings, this.callerServer, this.router, this.directory,
				this.ownership, this.handover);
		this.ownership.onOwnershipChange(this::ownershipChanged);
	}

	private TopicFollower follower(SharedTopic topic, TopicFollower.PollPolicy pace, TopicFollower.Listener listener) {
		return new TopicFollower(this.eventLoop, this.log, topic, pace, listener);
	}

	/**
	 * Sets what the transport to the peers is wrapped in, before the host is started.
	 * @param decorator wraps the transport
	 */
	void decorateTransport(UnaryOperator<PeerTransport> decorator) {
		this.transportDecorator = decorator;
	}

	/**
	 * Opens the listeners and starts to follow the log.
	 */
	public void start() {
		useTransport(this.transportDecorator.apply(bindTransport()));
		this.callerServer.listen(this.settings.callerAddress());
		this.operatorServer.listen(this.settings.readinessAddress());
		this.operatorServer.listen(this.settings.metricsAddress());
		this.eventLoop.execute(this::startOnEventLoop);
	}

	/**
	 * Starts to follow the log without opening listeners.
	 * @param peerTransport the transport to the peers
	 */
	void start(PeerTransport peerTransport) {
		useTransport(peerTransport);
		this.eventLoop.execute(this::startOnEventLoop);
	}

	private void useTransport(PeerTransport peerTransport) {
		this.transport = peerTransport;
		this.router.transport(this.transport);
		this.reporter.transport(this.transport);
		this.lossExchange.transport(this.transport);
		this.jobQueries.transport(this.transport);
		this.handover.transport(this.transport);
	}

	/**
	 * Returns the handler of the requests of callers and operators.
	 * @return the handler
	 */
	RequestHandler requestHandler() {
		return this.requestHandler;
	}

	private PeerTransport bindTransport() {
		return NettyPeerTransport.bind(
				PeerTransportSettings.of(this.settings.peerAddress().ip(), this.settings.peerAddress().port())
					.withIdleTimeoutMillis(PeerTable.PEER_TIMEOUT_MILLIS)
					.withIdleCheck(PeerTransportSettings.IdleCheck.PENDING_CALLS),
				() -> new EntryHost(this.self.domain(), this.self.peerAddress(), this.self.incarnation()), this,
				this.eventLoops);
	}

	private void startOnEventLoop() {
		logger.atInfo()
			.addKeyValue("host", this.self.hostName())
			.addKeyValue("domain", this.self.domain())
			.addKeyValue("incarnation", this.self.incarnation())
			.addKeyValue("peer_address", this.self.peerAddress())
			.log("Entry host started");
		this.versionFollower.start();
		this.memberFollower.start();
		this.endpointRecords.start();
		this.memberRecords.register();
		this.eventLoop.scheduleAtFixedRate(guarded(this::tick), TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		this.eventLoop.scheduleAtFixedRate(guarded(this::report), PeerMessage.HostReport.SHORT_INTERVAL_MILLIS,
				PeerMessage.HostReport.SHORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static Runnable guarded(Runnable action) {
		return () -> {
			try {
				action.run();
			}
			catch (RuntimeException ex) {
				logger.error("Periodic work failed; it runs again at its next interval", ex);
			}
		};
	}

	private void tick() {
		long nowMillis = Clock.nowMillis();
		this.router.tick();
		cancelOwnAbandonedCalls(nowMillis);
		this.peers.pollLostPeers(nowMillis).forEach(this::peerLost);
		this.ownership.tick();
		this.handover.tick();
		this.lossExchange.flush(this.reporter::recipientAddresses);
		this.versionExchange.tick(nowMillis);
		this.stop.tick(nowMillis);
	}

	// Jobs of this host's callers may have been handed over to its own owner meanwhile.
	private void cancelOwnAbandonedCalls(long nowMillis) {
		this.directory.localOwner()
			.ifPresent((owner) -> owner.cancelAbandoned(this.self.peerAddress().toString(),
					this.router.abandonedCalls(nowMillis)));
	}

	private void peerLost(HostAddress peer) {
		logger.atWarn()
			.addKeyValue("peer", peer)
			.addKeyValue("domain", this.peers.member(peer).map(MemberRecord::domain).orElse("unknown"))
			.log("Peer lost, as no report arrived in time or it was restarted; jobs of its callers are abandoned");
		this.ownership.entryHostLost(peer.toString());
		this.router.peerLost(peer);
	}

	private void report() {
		long nowMillis = Clock.nowMillis();
		this.reporter.recordSharedWork(this.router.pendingOwners(), nowMillis);
		this.reporter.report(nowMillis);
	}

	private PeerReporter.HostState hostState() {
		List<PoolReport> pools = this.directory.localOwner()
			.filter((owner) -> !owner.isFrozen())
			.map(PoolOwner::reports)
			.orElse(List.of());
		return new PeerReporter.HostState(this.versions.activeNumber(), this.stop.isRequested(), pools,
				this.directory.poolsWithReachableOwner(Clock.nowMillis()), hasSeenDurableJobs(),
				this.memberFollower.isLogReachable(), this.drains.current().orElse(null),
				this.router.abandonedCalls(Clock.nowMillis()));
	}

	// Peers that the log refuses depend on the report.
	private void drainedDomainsChanged(DrainedDomains drainedDomains) {
		this.metrics.drainedDomains(drainedDomains.domains().size());
		this.directory.localOwner().ifPresent(PoolOwner::drainedDomainsChanged);
		report();
	}

	private void ownershipChanged(boolean ownsPools) {
		this.endpointRecords.ownershipChanged(ownsPools);
		if (!ownsPools) {
			this.peerJobs.poolsLost();
		}
	}

	private boolean isReady() {
		return !this.stop.isRequested() && this.versions.activeNumber() > 0
				&& !this.directory.candidates(Clock.nowMillis()).isEmpty();
	}

	private boolean isRefusingJobs() {
		return this.stop.isRefusingJobs();
	}

	@Override
	public CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress from) {
		return this.messageDispatcher.handle(message, from);
	}

	@Override
	public void jobAnswered(JobOrigin origin, String jobId, JobOutcome outcome) {
		if (origin.host().equals(this.self.peerAddress().toString())) {
			this.router.jobAnswered(origin.callNumber(), outcome);
		}
		else {
			this.peerJobs.answer(origin, outcome);
		}
	}

	@Override
	public void jobPlaced(JobOrigin origin, String jobId, String pool) {
		if (origin.host().equals(this.self.peerAddress().toString())) {
			this.router.jobPlaced(origin.callNumber(), pool);
		}
		else {
			this.peerJobs.placed(origin, pool);
		}
	}

	@Override
	public void poolFenced(String pool) {
		this.eventLoop.execute(() -> this.ownership.dropPool(pool, "fenced"));
	}

	@Override
	public CompletionStage<PeerMessage> forwardOrphanedTermination(PeerMessage.StrayEnd message) {
		String assignedPool = AssignedPool.of(message.termination().run().task().jobId(), this.settings.domains());
		if (this.directory.ownerAddress(assignedPool).filter(this.self.peerAddress()::equals).isPresent()) {
			return this.peerJobs.recordOrphanedTermination(message);
		}
		return this.directory.ownerAddress(assignedPool)
			.filter((owner) -> this.directory.isOwnerReachable(assignedPool, Clock.nowMillis()))
			.map((owner) -> this.transport.call(owner, message))
			.orElse(CompletableFuture.completedFuture(
					new PeerMessage.ErrorAnswer("no-owner", "The owner of the job's pool is unknown or unreachable")));
	}

	@Override
	public boolean isPoolReachable(String pool) {
		return this.directory.isOwnerReachable(pool, Clock.nowMillis());
	}

	@Override
	public boolean mayHaveUnknownDurableJobs() {
		return this.durableJobsMarker.isStored() || hasSeenDurableJobs() || this.peers.mayHaveDurableJobs();
	}

	@Override
	public boolean hasSiteDurableJobs() {
		return this.durableJobsMarker.isStored() || hasSeenDurableJobs() || this.peers.haveSeenDurableJobs();
	}

	@Override
	public CompletableFuture<Void> storeDurableJobsMarker() {
		return this.durableJobsMarker.store();
	}

	private boolean hasSeenDurableJobs() {
		return this.router.hasSeenDurableJobs()
				|| this.directory.localOwner().filter(PoolOwner::hasDurableJobs).isPresent();
	}

	@Override
	public void disconnected(HostAddress peer) {
		this.peers.recordDisconnection(peer, Clock.nowMillis());
	}

	/**
	 * Stops gracefully: hands pools over, answers pending requests, then shuts the event
	 * loop down, at the latest at the end of the grace period. Returns at once.
	 */
	public void stopGracefully() {
		this.eventLoop.execute(() -> this.stop.begin(this::report));
	}

	/**
	 * Waits until the event loop has terminated.
	 */
	public void awaitTermination() {
		this.eventLoops.terminationFuture().awaitUninterruptibly();
	}

	/**
	 * Passes the records of the members' topic on. Its follower is created before the
	 * parts that they go to.
	 */
	private final class MemberRecordListener implements TopicFollower.Listener {

		@Override
		public void onRecord(KeyedRecord memberRecord) {
			FleetHost.this.memberRecords.onRecord(memberRecord);
		}

		@Override
		public void onUpToDate(long nextOffset) {
			FleetHost.this.memberRecords.onUpToDate(nextOffset);
		}

	}

}
