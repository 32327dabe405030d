package org.masticwick.daemon.connection;

import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.connection.ListedHost;
import org.masticwick.core.connection.LoadChangeSelector;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Exchanges the status of entry hosts: sends heartbeats to all entry hosts of the own
 * failure domain, and summaries of the domain to a few hosts of each other domain.
 * Discovers peers from the seeds in the settings, the platform's host list and the
 * summaries of other peers. Safe for several threads.
 */
public final class HeartbeatService implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(HeartbeatService.class);

	private static final int PROBES_PER_ROUND = 2;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "heartbeat");
		thread.setDaemon(true);
		return thread;
	});

	private final HeartbeatSettings settings;

	private final PeerTransport transport;

	private final Membership membership;

	private final Supplier<PeerStatus> ownStatus;

	private final PeerListener listener;

	private final TimeSource time;

	private final PeerChangeDetector peerChanges;

	private final SummaryFactory summaryFactory;

	private final SummaryRelay summaryRelay;

	private final SummarySender summarySender;

	private final LoadChangeSelector loadChanges;

	private final IntervalTimer fullLoadTimer;

	private final Queue<EntryHost> unansweredHellos = new ConcurrentLinkedQueue<>();

	private volatile boolean started;

	private long sequence;

	/**
	 * Creates a service that sends nothing before {@link #start()}.
	 * @param settings the settings
	 * @param transport sends the messages to peers
	 * @param membership records the status and liveness of the peers
	 * @param ownStatus supplies the current status of this host
	 * @param listener is notified of reports, losses and replacements of peers
	 * @param time the clock
	 */
	public HeartbeatService(HeartbeatSettings settings, PeerTransport transport, Membership membership,
			Supplier<PeerStatus> ownStatus, PeerListener listener, TimeSource time) {
		this.settings = settings;
		this.transport = transport;
		this.membership = membership;
		this.ownStatus = ownStatus;
		this.listener = listener;
		this.time = time;
		this.peerChanges = new PeerChangeDetector(listener);
		this.summaryFactory = new SummaryFactory(membership);
		this.summaryRelay = new SummaryRelay(this.summaryFactory, settings.relayIntervalMillis());
		this.summarySender = new SummarySender(settings, transport, membership, this.summaryFactory);
		this.loadChanges = new LoadChangeSelector(settings.loadBudget());
		this.fullLoadTimer = new IntervalTimer(settings.fullLoadIntervalMillis());
	}

	/**
	 * Starts to send a round of messages per interval.
	 */
	public void start() {
		this.started = true;
		this.executor.scheduleWithFixedDelay(this::runRound, 0, this.settings.intervalMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends a round of heartbeats and due summaries without waiting for the interval.
	 * Called when this host is leaving or has a new version.
	 */
	public void sendNow() {
		execute(this::runRound);
	}

	/**
	 * Records the platform's list of entry hosts, which names hosts to contact.
	 * @param hosts the entry hosts of all failure domains
	 */
	public void updateListedHosts(List<ListedHost> hosts) {
		this.membership.observeListedHosts(hosts);
	}

	/**
	 * Handles a message of a peer if it is a hello, a heartbeat or a summary.
	 * @param message the message
	 * @param from the peer address of the sender; may be {@code null} if it is unknown
	 * @return {@code true} if the message was of one of these types; they have no answer
	 */
	public boolean handle(PeerMessage message, HostAddress from) {
		if (message instanceof PeerMessage.Hello hello) {
			handleHello(hello);
		}
		else if (message instanceof PeerMessage.Heartbeat heartbeat) {
			handleHeartbeat(heartbeat);
		}
		else if (message instanceof PeerMessage.DomainSummary summary) {
			handleSummary(summary, from);
		}
		else {
			return false;
		}
		return true;
	}

	/**
	 * Records that the connection with a peer was closed, which makes the peer suspect.
	 * @param peer the peer address
	 */
	public void disconnected(HostAddress peer) {
		this.membership.observeDisconnect(peer, this.time.nanoTime());
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	/**
	 * Runs one round: sends heartbeats and due summaries, probes uncontacted hosts and
	 * reports changes of peers. Must be called on the heartbeat thread only.
	 */
	void runRound() {
		try {
			long nowNanos = this.time.nanoTime();
			this.membership.evictLost(nowNanos);
			answerHellos();
			PeerStatus status = this.ownStatus.get();
			sendHeartbeats(status, nowNanos);
			this.summarySender.sendIfDue(status, this.sequence, nowNanos);
			this.summaryRelay.dueSummaries(nowNanos).forEach((summary) -> sendToOwnDomain(summary, nowNanos));
			probeUncontactedHosts();
			this.peerChanges.update(this.membership.peers(nowNanos));
		}
		catch (RuntimeException ex) {
			logger.error("A heartbeat round failed; the next round runs after the interval", ex);
		}
	}

	private void sendHeartbeats(PeerStatus status, long nowNanos) {
		boolean fullLoad = this.fullLoadTimer.restartIfDue(nowNanos, false);
		if (fullLoad) {
			this.loadChanges.markAllSent(status.load());
		}
		PeerStatus sentStatus = (fullLoad) ? status : status.withLoad(this.loadChanges.selectChanges(status.load()));
		this.sequence++;
		sendToOwnDomain(new PeerMessage.Heartbeat(this.membership.self(), this.sequence, fullLoad, sentStatus),
				nowNanos);
	}

	private void sendToOwnDomain(PeerMessage message, long nowNanos) {
		this.membership.peersOf(this.membership.self().domain(), nowNanos)
			.forEach((peer) -> this.transport.send(peer.host().peerAddress(), message));
	}

	private void probeUncontactedHosts() {
		List<HostAddress> uncontacted = Stream
			.concat(this.settings.seeds().stream(),
					this.membership.uncontactedHosts().stream().map(ListedHost::address))
			.distinct()
			.filter((address) -> !address.equals(this.membership.self().peerAddress()))
			.filter((address) -> this.membership.peerAt(address, this.time.nanoTime()).isEmpty())
			.toList();
		Stream.iterate(this.sequence * PROBES_PER_ROUND, (index) -> index + 1)
			.limit(Math.min(PROBES_PER_ROUND, uncontacted.size()))
			.map((index) -> uncontacted.get((int) (index % uncontacted.size())))
			.forEach((address) -> this.transport.send(address, new PeerMessage.Ping()));
	}

	private void handleHello(PeerMessage.Hello hello) {
		this.membership.observeHello(hello.sender(), this.time.nanoTime());
		this.unansweredHellos.add(hello.sender());
		execute(this::answerHellos);
	}

	private void answerHellos() {
		PeerStatus status = this.ownStatus.get();
		for (EntryHost peer = this.unansweredHellos.poll(); peer != null; peer = this.unansweredHellos.poll()) {
			if (peer.domain().equals(this.membership.self().domain())) {
				sendFullHeartbeat(peer.peerAddress(), status);
			}
			sendAllSummaries(peer, status);
		}
	}

	private void sendFullHeartbeat(HostAddress peer, PeerStatus status) {
		this.sequence++;
		this.transport.send(peer, new PeerMessage.Heartbeat(this.membership.self(), this.sequence, true,
				status.withLoad(this.loadChanges.lastSent())));
	}

	private void sendAllSummaries(EntryHost peer, PeerStatus status) {
		long nowNanos = this.time.nanoTime();
		String ownDomain = this.membership.self().domain();
		this.transport.send(peer.peerAddress(), this.summaryFactory.createOwn(status, this.sequence, nowNanos));
		this.membership.domains()
			.stream()
			.filter((domain) -> !domain.equals(ownDomain))
			.map((domain) -> this.summaryFactory.createFor(domain, nowNanos))
			.forEach((summary) -> this.transport.send(peer.peerAddress(), summary));
	}

	private void handleHeartbeat(PeerMessage.Heartbeat heartbeat) {
		this.membership
			.observeHeartbeat(heartbeat.sender(), heartbeat.sequence(), heartbeat.loadComplete(), heartbeat.status(),
					this.time.nanoTime())
			.ifPresent(this::notifyListener);
	}

	private void handleSummary(PeerMessage.DomainSummary summary, HostAddress from) {
		long nowNanos = this.time.nanoTime();
		this.membership.observeSummaries(summary.hosts(), nowNanos).forEach(this::notifyListener);
		this.membership.observeDomainLoad(summary.domain(), summary.services(), nowNanos);
		String ownDomain = this.membership.self().domain();
		String sendingDomain = Optional.ofNullable(from)
			.flatMap((address) -> this.membership.peerAt(address, nowNanos))
			.map((peer) -> peer.host().domain())
			.orElse(null);
		if (summary.domain().equals(sendingDomain) && !ownDomain.equals(sendingDomain)) {
			this.summaryRelay.recordReceived(summary.domain(), nowNanos);
		}
		else if (ownDomain.equals(sendingDomain) && from.compareTo(this.membership.self().peerAddress()) < 0) {
			this.summaryRelay.recordRelayedByPeer(summary.domain(), nowNanos);
		}
	}

	private void notifyListener(PeerView peer) {
		this.listener.peerReported(peer);
		PeerStatus own = this.ownStatus.get();
		if (peer.status().versionNumber() > own.versionNumber() || peer.status().logOffset() > own.logOffset()) {
			this.listener.peerAhead(peer);
		}
	}

	private void execute(Runnable task) {
		try {
			if (this.started) {
				this.executor.execute(task);
			}
		}
		catch (RejectedExecutionException ex) {
			logger.debug("Dropped a task of the heartbeat thread because the heartbeat service is closed");
		}
	}

}
