package org.masticwick.daemon.process;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import org.masticwick.core.connection.ListedHost;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.EndpointState;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.request.Schedulers;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;
import org.masticwick.core.version.HistoryPosition;
import org.masticwick.daemon.connection.EndpointClient;
import org.masticwick.daemon.connection.HeartbeatService;
import org.masticwick.daemon.connection.NamedThreads;
import org.masticwick.daemon.connection.OkHttpEndpointClient;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.daemon.process.settings.Settings;
import org.masticwick.daemon.request.Dispatcher;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.request.JobRequestReader;
import org.masticwick.daemon.request.JobService;
import org.masticwick.daemon.request.RecoveredAnswers;
import org.masticwick.daemon.request.RequestRouter;
import org.masticwick.daemon.request.ResultCollector;
import org.masticwick.daemon.request.RoutedRequest;
import org.masticwick.daemon.request.TaskFinder;
import org.masticwick.daemon.request.TicketIssuer;
import org.masticwick.daemon.request.TicketRegistries;
import org.masticwick.daemon.request.TicketTransfer;
import org.masticwick.daemon.version.HostListFollower;
import org.masticwick.daemon.version.LogFollower;
import org.masticwick.daemon.version.RecentRecords;
import org.masticwick.daemon.version.RecordRelay;
import org.masticwick.daemon.version.VersionRegistry;
import org.masticwick.platform.HttpPlatformClient;
import org.masticwick.platform.HttpPlatformSettings;
import org.masticwick.platform.PlatformHost;
import org.masticwick.wire.NettyPeerTransport;
import org.masticwick.wire.PeerMessageHandler;
import org.masticwick.wire.PeerTransport;

/**
 * Creates the components of an entry host, wires them together, and starts and closes
 * them.
 */
final class EntryHostComponents implements AutoCloseable {

	private static final int PEER_WORKER_COUNT = 4;

	private static final long MAINTENANCE_INTERVAL_SECONDS = 5;

	private final Settings settings;

	private final TimeSource time = TimeSource.system();

	private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");

	private final Metrics metrics = new Metrics();

	private final ExecutorService peerWorkers = Executors.newFixedThreadPool(PEER_WORKER_COUNT,
			new NamedThreads("peer-worker"));

	private final ScheduledExecutorService maintenanceExecutor = Executors
		.newSingleThreadScheduledExecutor(new NamedThreads("sweeper"));

	private final AtomicInteger openRequestCount = new AtomicInteger();

	private final PeerTransport transport;

	private final EntryHost self;

	private final HttpPlatformClient platform;

	private final VersionRegistry registry = new VersionRegistry(new RecentRecords());

	private final LogFollower logFollower;

	private final HostListFollower hostListFollower;

	private final Membership membership;

	private final Scheduler scheduler;

	private final Dispatcher dispatcher;

	private final TicketRegistries ticketBooks;

	private final ResultCollector collector;

	private final RecoveredAnswers lateVerdicts;

	private final RequestRouter router;

	private final TicketTransfer ticketTransfer;

	private final HeartbeatService heartbeatService;

	private final VersionReport versionReport;

	private final StateDump stateDump;

	private final StateChangeLogger stateChangeLogger = new StateChangeLogger();

	private volatile PeerMessageHandler peerMessages;

	private volatile HostAddress apiAddress;

	private volatile boolean leaving;

	EntryHostComponents(Settings settings) {
		this.settings = settings;
		this.transport = bindTransport(settings);
		this.self = new EntryHost(settings.host().domain(), advertisedAddress(settings),
				Incarnation.create(this.time, this.random));
		this.platform = new HttpPlatformClient(settings.platform().address(), HttpPlatformSettings.DEFAULT);
		this.logFollower = new LogFollower(this.platform, this.registry,
				ComponentSettings.follower(settings.platform()), this.time, newRandom());
		this.hostListFollower = new HostListFollower(this.platform,
				new PlatformHost(this.self.peerAddress(), PlatformHost.Role.ENTRY, this.self.domain(),
						PlatformHost.State.LIVE),
				Duration.ofMillis(settings.platform().hostListIntervalMillis()),
				Duration.ofMillis(settings.platform().leaseMillis()), newRandom(), this.time, this::applyHostList);
		this.membership = new Membership(this.self, ComponentSettings.membership(settings));
		this.scheduler = Schedulers.create(ComponentSettings.scheduler(settings.dispatch()), this.self.domain(),
				this.self, newRandom());
		EndpointClient endpoints = new OkHttpEndpointClient(ComponentSettings.endpoints(settings));
		this.dispatcher = new Dispatcher(this.scheduler, endpoints, this.registry::activeVersion, this.time,
				this.metrics, settings.dispatch().endpointSilenceMinMillis());
		this.ticketBooks = new TicketRegistries(new TicketFactory(this.self, TicketKey.random(), 0), this.time,
				settings.tickets().lifetimeMillis(), settings.requests().rememberedBytesMax());
		this.lateVerdicts = new RecoveredAnswers(this.transport);
		JobRequestReader reader = new JobRequestReader(ComponentSettings.requests(settings.requests()));
		this.collector = new ResultCollector(reader, this.registry::activeVersion,
				new TaskFinder(endpoints, this.metrics, this.time), this.time, this.lateVerdicts::store);
		MembershipDirectory directory = new MembershipDirectory(this.membership, this.time,
				2 * settings.peers().silenceLimitMillis());
		this.router = new RequestRouter(this.self, this.ticketBooks,
				new TicketIssuer(this.ticketBooks, settings.tickets().blockCountMax()),
				new JobService(reader, this.dispatcher, this::hasVersion, this.ticketBooks::answerMemoryFull,
						this.time),
				this.collector, directory, this.transport, this.metrics, this.time,
				3 * settings.peers().silenceLimitMillis());
		this.ticketTransfer = new TicketTransfer(this.ticketBooks, directory, this.transport, this.metrics, this.time);
		RecordRelay relay = new RecordRelay(this.registry);
		this.heartbeatService = new HeartbeatService(ComponentSettings.heartbeats(settings.peers()), this.transport,
				this.membership, this::ownStatus, new PeerEventHandler(this.scheduler, relay, this.transport,
						this.lateVerdicts, this.time, this.peerWorkers),
				this.time);
		this.peerMessages = new PeerMessageDispatcher(this.peerWorkers, this.router, this.ticketTransfer, relay,
				this.heartbeatService);
		this.versionReport = new VersionReport(this.registry, this.membership, this::ownStatus, this.time);
		ObservedComponents observed = new ObservedComponents(this.self, settings, this.time, this.registry,
				this.versionReport, this.logFollower, this.membership, this.scheduler, this.dispatcher,
				this.ticketBooks, this.collector, this.transport.traffic(), this.openRequestCount::get,
				() -> this.leaving);
		this.stateDump = HostDump.create(observed);
		HostMetrics.add(this.metrics, observed);
	}

	private NettyPeerTransport bindTransport(Settings loadedSettings) {
		return NettyPeerTransport.bind(ComponentSettings.transport(loadedSettings), () -> this.self,
				new DeferredMessageHandler(() -> this.peerMessages));
	}

	private HostAddress advertisedAddress(Settings loadedSettings) {
		HostAddress advertised = loadedSettings.host().peerAdvertisedAddress();
		return (advertised != null) ? advertised : this.transport.localAddress();
	}

	private static RandomGenerator newRandom() {
		return RandomGenerator.of("L64X128MixRandom");
	}

	/**
	 * Starts heartbeats, the followers of the log and of the host list, and the periodic
	 * maintenance.
	 * @param listenAddress the address on which this host serves callers; heartbeats
	 * carry it
	 */
	void start(HostAddress listenAddress) {
		this.apiAddress = listenAddress;
		this.registry.addVersionListener((version) -> {
			this.stateChangeLogger.logActiveVersion(version.number(), this.registry.nextOffset());
			this.scheduler.updateVersion(version, this.time.nanoTime());
			this.stateChangeLogger.logDrainedDomains(version.number(), version.rules().drainedDomains());
			this.dispatcher.requestSchedulingPass();
			this.heartbeatService.sendNow();
		});
		this.heartbeatService.start();
		this.logFollower.start();
		this.hostListFollower.start();
		this.maintenanceExecutor.scheduleWithFixedDelay(this::runMaintenance, MAINTENANCE_INTERVAL_SECONDS,
				MAINTENANCE_INTERVAL_SECONDS, TimeUnit.SECONDS);
	}

	private void runMaintenance() {
		this.ticketBooks.removeExpired();
		this.collector.removeExpired();
		this.lateVerdicts.removeExpired(this.time.epochMillis());
		this.stateChangeLogger.logChanges(this.scheduler.snapshot(this.time.nanoTime()), this.logFollower.status());
	}

	private void applyHostList(List<PlatformHost> hosts) {
		this.heartbeatService.updateListedHosts(hosts.stream()
			.filter((host) -> host.role() == PlatformHost.Role.ENTRY)
			.map((host) -> new ListedHost(host.address(), host.domain(), host.state() == PlatformHost.State.LEAVING))
			.toList());
		hosts.stream()
			.filter((host) -> host.role() == PlatformHost.Role.ENDPOINT)
			.forEach((host) -> this.scheduler.updateEndpointState(host.address(),
					(host.state() == PlatformHost.State.LEAVING) ? EndpointState.LEAVING : EndpointState.LIVE,
					this.time.nanoTime()));
	}

	private PeerStatus ownStatus() {
		HistoryPosition position = this.registry.position();
		List<Incarnation> inheritedIncarnations = this.ticketBooks.heldIncarnations()
			.stream()
			.filter((incarnation) -> !incarnation.equals(this.self.incarnation()))
			.toList();
		return new PeerStatus(Math.max(position.version(), 0), Math.max(position.nextOffset(), 0),
				position.historyHash(), ready(), this.leaving, inheritedIncarnations, this.apiAddress,
				this.scheduler.loadReport(this.time.nanoTime()));
	}

	private boolean ready() {
		return hasVersion() && !this.leaving;
	}

	/**
	 * Returns whether a version that was made by a release note is active. The empty
	 * version 0 does not count: an empty log may have lost its records, so requests must
	 * not be refused permanently because of it.
	 * @return {@code true} from version 1 on
	 */
	private boolean hasVersion() {
		return this.registry.activeVersion().number() > 0;
	}

	/**
	 * Returns the operations that the HTTP server offers.
	 * @return the backend
	 */
	ApiBackend apiBackend() {
		return new Backend();
	}

	EntryHost self() {
		return this.self;
	}

	int activeJobCount() {
		return this.dispatcher.activeJobCount();
	}

	/**
	 * Returns how many requests await their answer and how many jobs are active.
	 * @return the sum of both counts
	 */
	int openRequestCount() {
		return this.openRequestCount.get() + this.dispatcher.activeJobCount();
	}

	/**
	 * Announces to the platform and to the peers that this host is leaving.
	 */
	void announceLeaving() {
		this.leaving = true;
		this.hostListFollower.announceLeaving();
		this.heartbeatService.sendNow();
	}

	/**
	 * Hands the tickets over to a successor. Blocks until each issuer's tickets have a
	 * successor, or none can be found.
	 * @return completes when the answers of the jobs that were still running have reached
	 * the successor
	 */
	CompletableFuture<Void> handOverTickets() {
		return this.ticketTransfer.handOver();
	}

	/**
	 * Aborts all active jobs, since the process stops.
	 * @return how many jobs were aborted
	 */
	int abortJobs() {
		return this.dispatcher.stopAll();
	}

	@Override
	public void close() {
		this.maintenanceExecutor.shutdownNow();
		this.heartbeatService.close();
		this.hostListFollower.close();
		this.logFollower.close();
		this.dispatcher.close();
		this.transport.close();
		this.platform.close();
		this.peerWorkers.shutdown();
	}

	/**
	 * Delegates the operations of the HTTP server to the components.
	 */
	private final class Backend implements ApiBackend {

		@Override
		public CompletableFuture<HttpAnswer> issueTickets(byte[] body) {
			return countOpen(EntryHostComponents.this.router.issue(body));
		}

		@Override
		public CompletableFuture<HttpAnswer> serveJobRequest(RoutedRequest request) {
			return countOpen(EntryHostComponents.this.router.serve(request));
		}

		private CompletableFuture<HttpAnswer> countOpen(CompletableFuture<HttpAnswer> answer) {
			EntryHostComponents.this.openRequestCount.incrementAndGet();
			return answer.whenComplete((ignored, ex) -> EntryHostComponents.this.openRequestCount.decrementAndGet());
		}

		@Override
		public HttpAnswer versionReport() {
			return EntryHostComponents.this.versionReport.siteAnswer();
		}

		@Override
		public HttpAnswer siteState() {
			return EntryHostComponents.this.versionReport.stateAnswer();
		}

		@Override
		public HttpAnswer noteReport(String noteId) {
			return EntryHostComponents.this.versionReport.noteAnswer(noteId);
		}

		@Override
		public boolean ready() {
			return EntryHostComponents.this.ready();
		}

		@Override
		public byte[] metrics() {
			return EntryHostComponents.this.metrics.scrape();
		}

		@Override
		public void countRefusal(ErrorCode code) {
			EntryHostComponents.this.metrics.countRefusal(code);
		}

		@Override
		public HttpAnswer stateDump() {
			return EntryHostComponents.this.stateDump.dump();
		}

	}

}
