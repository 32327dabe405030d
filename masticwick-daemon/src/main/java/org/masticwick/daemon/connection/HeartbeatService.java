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
 * Keeps the entry hosts informed of each other: heartbeats go to all entry hosts of the
 * own failure domain, summaries of the domain to a few hosts of each other domain. Peers
 * are found from seeds, the platform's list, and what peers tell. Safe for several
 * threads.
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

	private final PeerWatch watch;

	private final Summaries summaries;

	private final SummaryRelay relay;

	private final SummarySender summarySender;

	private final LoadChangeSelector loadChanges;

	private final Cadence wholeLoadCadence;

	private final Queue<EntryHost> greetings = new ConcurrentLinkedQueue<>();

	private volatile boolean started;

	private long sequence;

	/**
	 * Creates a service that does nothing until it is started.
	 * @param settings the settings
	 * @param transport carries the messages
	 * @param membership takes note of what is heard
	 * @param ownStatus tells how this host is
	 * @param listener hears what happens to peers
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
		this.watch = new PeerWatch(listener);
		this.summaries = new Summaries(membership);
		this.relay = new SummaryRelay(this.summaries, settings.relayIntervalMillis());
		this.summarySender = new SummarySender(settings, transport, membership, this.summaries);
		this.loadChanges = new LoadChangeSelector(settings.loadBudget());
		this.wholeLoadCadence = new Cadence(settings.fullLoadIntervalMillis());
	}

	/**
	 * Starts to send heartbeats.
	 */
	public void start() {
		this.started = true;
		this.executor.scheduleWithFixedDelay(this::runRound, 0, this.settings.intervalMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends a heartbeat and what changed at once, since this host leaves or has a new
	 * version.
	 */
	public void sendNow() {
		execute(this::runRound);
	}

	/**
	 * Takes note of the platform's list of entry hosts.
	 * @param hosts the entry hosts of all failure domains
	 */
	public void updateListedHosts(List<ListedHost> hosts) {
		this.membership.observeListedHosts(hosts);
	}

	/**
	 * Handles a message of a peer, if it concerns this service.
	 * @param message the message
	 * @param from the peer address of the sender
	 * @return {@code true} if the message is dealt with; it has no answer
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
	 * Takes note that a connection with a peer has closed.
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
	 * Does all that is due. Called on the thread of the heartbeats only.
	 */
	void runRound() {
		try {
			long nowNanos = this.time.nanoTime();
			this.membership.evictLost(nowNanos);
			answerGreetings();
			PeerStatus status = this.ownStatus.get();
			sendHeartbeats(status, nowNanos);
			this.summarySender.sendIfDue(status, this.sequence, nowNanos);
			this.relay.due(nowNanos).forEach((summary) -> sendToOwnDomain(summary, nowNanos));
			probe();
			this.watch.look(this.membership.peers(nowNanos));
		}
		catch (RuntimeException ex) {
			logger.error("A round of heartbeats failed", ex);
		}
	}

	private void sendHeartbeats(PeerStatus status, long nowNanos) {
		boolean whole = this.wholeLoadCadence.isDue(nowNanos, false);
		if (whole) {
			this.loadChanges.markAllSent(status.load());
		}
		PeerStatus told = (whole) ? status : status.withLoad(this.loadChanges.selectChanges(status.load()));
		this.sequence++;
		sendToOwnDomain(new PeerMessage.Heartbeat(this.membership.self(), this.sequence, whole, told), nowNanos);
	}

	private void sendToOwnDomain(PeerMessage message, long nowNanos) {
		this.membership.peersOf(this.membership.self().domain(), nowNanos)
			.forEach((peer) -> this.transport.send(peer.host().peerAddress(), message));
	}

	private void probe() {
		List<HostAddress> unmet = Stream
			.concat(this.settings.seeds().stream(),
					this.membership.uncontactedHosts().stream().map(ListedHost::address))
			.distinct()
			.filter((address) -> !address.equals(this.membership.self().peerAddress()))
			.filter((address) -> this.membership.peerAt(address, this.time.nanoTime()).isEmpty())
			.toList();
		Stream.iterate(this.sequence * PROBES_PER_ROUND, (index) -> index + 1)
			.limit(Math.min(PROBES_PER_ROUND, unmet.size()))
			.map((index) -> unmet.get((int) (index % unmet.size())))
			.forEach((address) -> this.transport.send(address, new PeerMessage.Ping()));
	}

	private void handleHello(PeerMessage.Hello hello) {
		this.membership.observeHello(hello.sender(), this.time.nanoTime());
		this.greetings.add(hello.sender());
		execute(this::answerGreetings);
	}

	private void answerGreetings() {
		PeerStatus status = this.ownStatus.get();
		for (EntryHost peer = this.greetings.poll(); peer != null; peer = this.greetings.poll()) {
			if (peer.domain().equals(this.membership.self().domain())) {
				sendWholeHeartbeat(peer.peerAddress(), status);
			}
			introduce(peer, status);
		}
	}

	private void sendWholeHeartbeat(HostAddress peer, PeerStatus status) {
		this.sequence++;
		this.transport.send(peer, new PeerMessage.Heartbeat(this.membership.self(), this.sequence, true,
				status.withLoad(this.loadChanges.lastSent())));
	}

	private void introduce(EntryHost peer, PeerStatus status) {
		long nowNanos = this.time.nanoTime();
		String ownDomain = this.membership.self().domain();
		this.transport.send(peer.peerAddress(), this.summaries.own(status, this.sequence, nowNanos));
		this.membership.domains()
			.stream()
			.filter((domain) -> !domain.equals(ownDomain))
			.map((domain) -> this.summaries.of(domain, nowNanos))
			.forEach((summary) -> this.transport.send(peer.peerAddress(), summary));
	}

	private void handleHeartbeat(PeerMessage.Heartbeat heartbeat) {
		this.membership
			.observeHeartbeat(heartbeat.sender(), heartbeat.sequence(), heartbeat.loadComplete(), heartbeat.status(),
					this.time.nanoTime())
			.ifPresent(this::tell);
	}

	private void handleSummary(PeerMessage.DomainSummary summary, HostAddress from) {
		long nowNanos = this.time.nanoTime();
		this.membership.observeSummaries(summary.hosts(), nowNanos).forEach(this::tell);
		this.membership.observeDomainLoad(summary.domain(), summary.services(), nowNanos);
		String ownDomain = this.membership.self().domain();
		String sendingDomain = Optional.ofNullable(from)
			.flatMap((address) -> this.membership.peerAt(address, nowNanos))
			.map((peer) -> peer.host().domain())
			.orElse(null);
		if (summary.domain().equals(sendingDomain) && !ownDomain.equals(sendingDomain)) {
			this.relay.received(summary.domain(), nowNanos);
		}
		else if (ownDomain.equals(sendingDomain) && from.compareTo(this.membership.self().peerAddress()) < 0) {
			this.relay.relayedByOther(summary.domain(), nowNanos);
		}
	}

	private void tell(PeerView peer) {
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
			logger.debug("The heartbeats have ended");
		}
	}

}
