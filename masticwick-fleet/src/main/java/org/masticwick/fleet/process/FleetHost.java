package org.masticwick.fleet.process;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

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
import org.masticwick.fleet.connection.NewRecord;
import org.masticwick.fleet.connection.SharedLog;
import org.masticwick.fleet.connection.SharedTopic;
import org.masticwick.fleet.connection.TopicFollower;
import org.masticwick.fleet.request.CallerFormat;
import org.masticwick.fleet.version.InvalidRecordException;
import org.masticwick.fleet.version.SiteFormat;
import org.masticwick.fleet.version.VersionHolder;
import org.masticwick.wire.NettyPeerTransport;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessageHandler;
import org.masticwick.wire.PeerTransport;
import org.masticwick.wire.PeerTransportSettings;

/**
 * Assembles an entry host and drives it: all its parts run on one event loop.
 */
public final class FleetHost implements PeerMessageHandler, PoolOwner.Listener {

	private static final Logger logger = LoggerFactory.getLogger(FleetHost.class);

	private static final String MEMBER_PREFIX = "host/";

	/** How often what is due by time is done. */
	private static final long TICK_MILLIS = 50;

	/** A third of the silence limit between hosts, so that one report may be lost. */
	private static final long REPORT_MILLIS = 125;

	/** How long a look for a new version waits; half of what a change may take. */
	private static final TopicFollower.Pace VERSION_PACE = TopicFollower.Pace.waiting(1_000);

	private static final TopicFollower.Pace MEMBER_PACE = TopicFollower.Pace.waiting(1_000);

	/** Endpoints write all the time, so that their records are fetched in batches. */
	private static final TopicFollower.Pace ENDPOINT_PACE = TopicFollower.Pace.pausing(400);

	/**
	 * Hosts that own no pool only need to know the endpoints when they step in. Each
	 * writes some five times meanwhile, of which they read the last.
	 */
	private static final TopicFollower.Pace STANDBY_ENDPOINT_PACE = TopicFollower.Pace.reloading(8_000);

	/** How long before its end a stop gives up what still runs. */
	private static final long STOP_MARGIN_MILLIS = 500;

	/**
	 * How long a stopping host still takes requests, until the balancer has noticed; what
	 * comes later is refused, as it might not end in time.
	 */
	private static final long MIN_STOP_MILLIS = 2_600;

	private static final PeerMessage MOVED = new PeerMessage.ErrorAnswer("moved", "Another host answers this job");

	/**
	 * How long after its pools a host ends the calls on them, so that callers' hosts
	 * know.
	 */
	private static final long MOVED_MILLIS = 1_000;

	private final EventLoopGroup eventLoops;

	private final EventLoop eventLoop;

	private final FleetSettings settings;

	private final MemberRecord self;

	private final SharedLog log;

	private final String versionKey;

	private final FleetMetrics metrics = new FleetMetrics();

	private final VersionHolder versions;

	private final PeerTable peers;

	private final PoolDirectory directory;

	private final PoolOwnership ownership;

	private final PoolHandover handover;

	private final JobRouter router;

	private final TopicFollower versionFollower;

	private final TopicFollower memberFollower;

	private final TopicFollower endpointFollower;

	private final JobQueries queries;

	private final RequestHandler requests;

	private final CallerServer callers;

	private final CallerServer readiness;

	private final Map<JobOrigin, CompletableFuture<PeerMessage>> calls = new ConcurrentHashMap<>();

	private PeerTransport transport;

	private final ReportAudience audience;

	private final VersionPull versionPull = new VersionPull();

	private boolean leaving;

	private long leaveMillis;

	/**
	 * Creates a host that has not started.
	 * @param eventLoops one event loop
	 * @param settings the settings
	 * @param entryHost the identity of this run
	 * @param log calls to the shared log
	 * @param jobLog calls to the part of the log that keeps durable jobs
	 * @param endpointCalls calls to endpoints
	 * @param siteFormat reads what others publish
	 * @param callerFormat reads and writes what callers see
	 */
	public FleetHost(EventLoopGroup eventLoops, FleetSettings settings, EntryHost entryHost, SharedLog log,
			JobLog jobLog, EndpointCalls endpointCalls, SiteFormat siteFormat, CallerFormat callerFormat) {
		this.eventLoops = eventLoops;
		this.eventLoop = eventLoops.next();
		this.settings = settings;
		this.log = log;
		this.versionKey = siteFormat.versionKey();
		this.self = new MemberRecord(settings.hostName(), settings.domain(), settings.peerAddress(),
				entryHost.incarnation(), settings.processorMillicores());
		this.audience = new ReportAudience(this.self);
		this.versions = new VersionHolder(siteFormat);
		this.peers = new PeerTable(Clock.nowMillis());
		this.directory = new PoolDirectory(this.self, this.peers);
		this.router = new JobRouter(this.eventLoop, this.self, settings.domains(), this.directory, callerFormat,
				this.metrics);
		this.versionFollower = follower(SharedTopic.OPERATORS, VERSION_PACE, this::operatorRecord);
		this.memberFollower = follower(SharedTopic.MEMBERS, MEMBER_PACE, this::memberRecord);
		this.ownership = new PoolOwnership(this.eventLoop, this.self, settings.domains(), this.peers, this.directory, log,
				jobLog, endpointCalls, siteFormat, this.metrics, this, this.memberFollower);
		this.handover = new PoolHandover(this.eventLoop, this.self, this.peers, this.directory, this.ownership,
				this.router);
		this.endpointFollower = new TopicFollower(this.eventLoop, log, SharedTopic.ENDPOINTS, STANDBY_ENDPOINT_PACE,
				new EndpointListener());
		this.queries = new JobQueries(this.eventLoop, this.self.peerAddress(), this.directory, settings.domains(),
				callerFormat);
		this.requests = new RequestHandler(this.versions, this.router, this.queries, callerFormat, this::isReady,
				this::isClosing, this.metrics);
		this.callers = new CallerServer(this.eventLoop, callerFormat.waitHeader(), this.requests::caller);
		this.readiness = new CallerServer(this.eventLoop, callerFormat.waitHeader(), this.requests::operator);
		this.ownership.onChange(this::ownershipChanged);
	}

	private TopicFollower follower(SharedTopic topic, TopicFollower.Pace pace, TopicFollower.Listener listener) {
		return new TopicFollower(this.eventLoop, this.log, topic, pace, listener);
	}

	/**
	 * Opens the listeners and begins to follow the shared log.
	 */
	public void start() {
		this.transport = NettyPeerTransport.bind(
				PeerTransportSettings.of(this.settings.peerAddress().ip(), this.settings.peerAddress().port())
					.withIdleTimeoutMillis(PeerTable.SILENCE_LIMIT_MILLIS),
				() -> new EntryHost(this.self.domain(), this.self.peerAddress(), this.self.incarnation()), this,
				this.eventLoops);
		this.router.transport(this.transport);
		this.queries.transport(this.transport);
		this.handover.transport(this.transport);
		this.callers.listen(this.settings.callerAddress());
		this.readiness.listen(this.settings.readinessAddress());
		this.readiness.listen(this.settings.metricsAddress());
		this.eventLoop.execute(this::begin);
	}

	private void begin() {
		logger.atInfo()
			.addKeyValue("host", this.self.hostName())
			.addKeyValue("domain", this.self.domain())
			.addKeyValue("incarnation", this.self.incarnation())
			.addKeyValue("peer_address", this.self.peerAddress())
			.log("Entry host started");
		this.versionFollower.start();
		this.memberFollower.start();
		this.endpointFollower.start();
		register();
		this.eventLoop.scheduleAtFixedRate(guarded(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
		this.eventLoop.scheduleAtFixedRate(guarded(this::report), REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static Runnable guarded(Runnable action) {
		return () -> {
			try {
				action.run();
			}
			catch (RuntimeException ex) {
				logger.error("Periodic work failed", ex);
			}
		};
	}

	private void register() {
		this.log.append(SharedTopic.MEMBERS,
				List.of(new NewRecord(MEMBER_PREFIX + this.self.hostName(), this.self.toBytes())), OptionalLong.empty())
			.whenComplete((offset, error) -> {
				if (error != null) {
					this.eventLoop.schedule(this::register, 2 * REPORT_MILLIS, TimeUnit.MILLISECONDS);
				}
			});
	}

	private void tick() {
		long nowMillis = Clock.nowMillis();
		this.peers.takeLost(nowMillis).forEach(this::peerLost);
		this.ownership.tick();
		this.handover.tick();
		pullVersion(nowMillis);
		if (this.leaving) {
			checkStop(nowMillis);
		}
	}

	private void peerLost(HostAddress peer) {
		logger.atWarn()
			.addKeyValue("peer", peer)
			.addKeyValue("domain", this.peers.member(peer).map(MemberRecord::domain).orElse("unknown"))
			.log("Peer lost");
		this.ownership.originLost(peer.toString());
		this.router.peerLost(peer);
	}

	private void report() {
		List<PoolReport> pools = this.directory.own()
			.filter((owner) -> !owner.isFrozen())
			.map(PoolOwner::reports)
			.orElse(List.of());
		PeerMessage.HostReport report = new PeerMessage.HostReport(this.versions.number(), this.leaving, pools,
				this.directory.heardOwners(Clock.nowMillis()), knowsDurableJobs(), this.memberFollower.isAnswered());
		this.audience
			.of(this.ownership.isMerged(), this.directory.own().isPresent(), this.peers.addresses(), this.peers::member,
					this.directory::isOwner)
			.forEach((address) -> this.transport.send(address, report));
	}

	private void operatorRecord(KeyedRecord published) {
		if (published.key().equals(this.versionKey) && published.value() != null) {
			this.versions.offer(published.value(), "log");
		}
	}

	private void memberRecord(KeyedRecord member) {
		if (member.key().startsWith(PoolOwnership.CLAIM_PREFIX)) {
			this.ownership.claimRead(member);
		}
		else if (member.key().startsWith(MEMBER_PREFIX) && member.value() != null) {
			hostRead(member);
		}
	}

	private void hostRead(KeyedRecord host) {
		try {
			MemberRecord member = MemberRecord.read(host.value());
			if (!member.peerAddress().equals(this.self.peerAddress()) && this.peers.add(member)) {
				logger.atInfo()
					.addKeyValue("peer", member.peerAddress())
					.addKeyValue("host", member.hostName())
					.log("Peer known");
			}
		}
		catch (InvalidRecordException ex) {
			logger.atWarn()
				.addKeyValue("key", host.key())
				.addKeyValue("reason", ex.getMessage())
				.log("Member passed over");
		}
	}

	private void ownershipChanged(boolean owns) {
		this.endpointFollower.pace(owns ? ENDPOINT_PACE : STANDBY_ENDPOINT_PACE);
		if (owns) {
			return;
		}
		List<CompletableFuture<PeerMessage>> moved = List.copyOf(this.calls.values());
		this.calls.clear();
		this.eventLoop.schedule(() -> moved.forEach((call) -> call.complete(MOVED)), MOVED_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private boolean isReady() {
		return !this.leaving && this.versions.number() > 0 && !this.directory.candidates(Clock.nowMillis()).isEmpty();
	}

	private boolean isClosing() {
		return this.leaving && Clock.nowMillis() - this.leaveMillis >= MIN_STOP_MILLIS;
	}

	@Override
	public CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress from) {
		if (message instanceof PeerMessage.HostReport report) {
			hostReported(from, report);
		}
		else if (message instanceof PeerMessage.Hello hello) {
			this.peers.greeted(from, hello.sender().incarnation());
		}
		else if (message instanceof PeerMessage.SubmitJob submission) {
			return submitted(from, submission);
		}
		else if (message instanceof PeerMessage.CancelJob cancel) {
			this.directory.own()
				.ifPresent(
						(owner) -> owner.cancel(cancel.jobId(), new JobOrigin(from.toString(), cancel.callNumber())));
		}
		else if (message instanceof PeerMessage.JobQuery query) {
			return this.queries.answer(query);
		}
		else if (message instanceof PeerMessage.StrayEnd stray) {
			return strayEndTold(stray);
		}
		else if (message instanceof PeerMessage.FetchVersion) {
			return fetchVersion();
		}
		else if (message instanceof PeerMessage.HandOverPools pools) {
			return this.handover.take(pools);
		}
		else if (message instanceof PeerMessage.JobsMoved moved) {
			this.router.moved(moved.callNumbers(), from);
		}
		else if (message instanceof PeerMessage.JobFinished finished) {
			this.router.answered(finished.callNumber(), finished.outcome());
			return CompletableFuture.completedFuture(new PeerMessage.Acknowledged());
		}
		return CompletableFuture.completedFuture(null);
	}

	private void hostReported(HostAddress from, PeerMessage.HostReport report) {
		long nowMillis = Clock.nowMillis();
		if (!this.peers.isHeard(from, nowMillis)) {
			logger.atInfo().addKeyValue("peer", from).log("Peer heard");
		}
		this.peers.reported(from, report, nowMillis);
		report.pools().forEach((pool) -> this.directory.reportSeen(pool.pool()));
		this.ownership.peerOwns(report.pools());
		this.versionPull.told(from, report.versionNumber(), this.versions.number(), nowMillis);
	}

	private void pullVersion(long nowMillis) {
		this.versionPull.next(this.versions.number(), nowMillis)
			.ifPresent((peer) -> this.transport.call(peer, new PeerMessage.FetchVersion())
				.whenComplete((answer, error) -> {
					if (answer instanceof PeerMessage.PublishedVersion published
							&& published.versionNumber() > this.versions.number()) {
						this.versions.offer(published.content(), "peer " + peer);
					}
				}));
	}

	private CompletionStage<PeerMessage> fetchVersion() {
		PeerMessage answer = this.versions.content()
			.map((content) -> (PeerMessage) new PeerMessage.PublishedVersion(this.versions.number(), content))
			.orElse(new PeerMessage.ErrorAnswer("no-version", "This host has no version yet"));
		return CompletableFuture.completedFuture(answer);
	}

	private CompletionStage<PeerMessage> submitted(HostAddress from, PeerMessage.SubmitJob submission) {
		Optional<PoolOwner> owner = this.directory.ownOf(submission.pool()).filter((own) -> !own.isFrozen());
		if (owner.isEmpty()) {
			return CompletableFuture
				.completedFuture(new PeerMessage.JobAnswer(JobOutcome.of(JobOutcome.Kind.NOT_OWNER, "not-the-owner")));
		}
		JobOrigin origin = new JobOrigin(from.toString(), submission.callNumber());
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.calls.put(origin, answer);
		owner.get().submit(submission.pool(), submission.job(), submission.terms(), origin);
		return answer;
	}

	@Override
	public void answered(JobOrigin origin, String jobId, JobOutcome outcome) {
		if (origin.host().equals(this.self.peerAddress().toString())) {
			this.router.answered(origin.callNumber(), outcome);
			return;
		}
		CompletableFuture<PeerMessage> answer = this.calls.remove(origin);
		if (answer != null) {
			answer.complete(new PeerMessage.JobAnswer(outcome));
			return;
		}
		HostAddress home = HostAddress.parse(origin.host());
		PeerMessage finished = new PeerMessage.JobFinished(origin.callNumber(), outcome);
		this.transport.call(home, finished).whenComplete((message, error) -> {
			if (error != null) {
				this.eventLoop.schedule(() -> this.transport.call(home, finished), TICK_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	@Override
	public void fenced(String pool) {
		this.eventLoop.execute(() -> this.ownership.lose(pool, "fenced"));
	}

	private CompletionStage<PeerMessage> strayEndTold(PeerMessage.StrayEnd stray) {
		return this.directory.own()
			.filter((owner) -> !owner.isFrozen())
			.map((owner) -> owner.strayEnded(stray))
			.orElse(CompletableFuture
				.completedFuture(new PeerMessage.ErrorAnswer("not-the-owner", "This host owns no pools")));
	}

	@Override
	public CompletionStage<PeerMessage> strayEnded(PeerMessage.StrayEnd stray) {
		String home = AssignedPool.of(stray.termination().run().task().jobId(), this.settings.domains());
		return this.directory.ownerAddress(home)
			.filter((owner) -> !owner.equals(this.self.peerAddress()))
			.filter((owner) -> this.directory.hearsOwner(home, Clock.nowMillis()))
			.map((owner) -> this.transport.call(owner, stray))
			.orElse(CompletableFuture
				.completedFuture(new PeerMessage.ErrorAnswer("no-owner", "The owner of the job is not heard")));
	}

	@Override
	public boolean mayHaveDurableJobs() {
		return knowsDurableJobs() || this.peers.mayHaveDurableJobs();
	}

	private boolean knowsDurableJobs() {
		return this.router.hasSeenDurableJobs() || this.directory.own().filter(PoolOwner::keepsJobs).isPresent();
	}

	@Override
	public void disconnected(HostAddress peer) {
		this.peers.disconnected(peer, Clock.nowMillis());
	}

	/**
	 * Stops without cutting off a request, and ends the event loop when all is done.
	 */
	public void stopGracefully() {
		this.eventLoop.execute(() -> {
			if (this.leaving) {
				return;
			}
			this.leaving = true;
			this.leaveMillis = Clock.nowMillis();
			logger.atInfo()
				.addKeyValue("host", this.self.hostName())
				.addKeyValue("open_requests", this.router.pendingCount())
				.log("Entry host is stopping");
			this.callers.leave();
			this.ownership.leave();
			this.handover.leave();
			report();
			this.handover.tick();
		});
	}

	private void checkStop(long nowMillis) {
		long sinceMillis = nowMillis - this.leaveMillis;
		boolean late = sinceMillis > this.settings.stopGraceMillis() - STOP_MARGIN_MILLIS;
		if (late || sinceMillis >= MIN_STOP_MILLIS
				&& this.directory.own().filter((own) -> own.jobCount() > 0).isEmpty()) {
			this.ownership.release();
		}
		boolean idle = this.router.pendingCount() == 0 && this.directory.own().isEmpty();
		if (sinceMillis >= MIN_STOP_MILLIS && idle || late) {
			logger.atInfo()
				.addKeyValue("host", this.self.hostName())
				.addKeyValue("open_requests", this.router.pendingCount())
				.addKeyValue("after_ms", sinceMillis)
				.log("Entry host stopped");
			this.router.giveUpAll();
			this.eventLoops.shutdownGracefully(STOP_MARGIN_MILLIS / 10, STOP_MARGIN_MILLIS / 2, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Waits until the event loop has ended.
	 */
	public void awaitTermination() {
		this.eventLoops.terminationFuture().awaitUninterruptibly();
	}

	/**
	 * Takes the records of endpoints, and believes only after a while that one is gone.
	 */
	private final class EndpointListener implements TopicFollower.Listener {

		@Override
		public void record(KeyedRecord endpoint) {
			FleetHost.this.ownership.endpointRead(endpoint);
		}

		@Override
		public void loaded(Set<String> keys) {
			Set<String> missing = new HashSet<>(FleetHost.this.ownership.endpointIds());
			missing.removeAll(keys);
			missing.forEach(FleetHost.this.ownership::endpointMissing);
		}

	}

}
