package org.masticwick.core.connection;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * Knows the entry hosts from what was heard of them: hellos, heartbeats, summaries of
 * other failure domains, closed connections and the platform's list, which lags and
 * therefore only says whom to look for. Safe for several threads; reads take no lock.
 * Times are those of a monotonic clock, in nanoseconds.
 */
public final class Membership {

	private final EntryHost self;

	private final MembershipLimits limits;

	private final PeerTable peers;

	private final Map<String, TimedLoad> domainLoads = new ConcurrentHashMap<>();

	private volatile Map<HostAddress, ListedHost> listed = Map.of();

	/**
	 * Creates a membership that knows nobody.
	 * @param self this host
	 * @param limits the limits
	 */
	public Membership(EntryHost self, MembershipLimits limits) {
		this.self = self;
		this.limits = limits;
		this.peers = new PeerTable(self, limits);
	}

	/**
	 * Returns this host.
	 * @return the identity of this host
	 */
	public EntryHost self() {
		return this.self;
	}

	/**
	 * Takes note that a peer introduced itself on a connection.
	 * @param host the peer
	 * @param nowNanos the time
	 * @return {@code true} if this run of the peer was not known
	 */
	public boolean observeHello(EntryHost host, long nowNanos) {
		return this.peers.addHello(host, nowNanos);
	}

	/**
	 * Takes note of a heartbeat. One that is older than what is known is passed over.
	 * @param host who sent it
	 * @param sequence its sequence number
	 * @param loadComplete whether its load replaces the known one
	 * @param status what the peer says of itself
	 * @param nowNanos the time
	 * @return the peer as it is known now, or nothing if the heartbeat was passed over
	 */
	public Optional<PeerView> observeHeartbeat(EntryHost host, long sequence, boolean loadComplete, PeerStatus status,
			long nowNanos) {
		return this.peers.addHeartbeat(host, sequence, loadComplete, status, nowNanos);
	}

	/**
	 * Takes note of what another host tells of some hosts. What is older than what is
	 * known, and what concerns peers whose own heartbeats come in, is passed over.
	 * @param summaries what is told
	 * @param nowNanos the time
	 * @return the peers of which something new was learnt
	 */
	public List<PeerView> observeSummaries(List<HostSummary> summaries, long nowNanos) {
		return summaries.stream().flatMap((summary) -> this.peers.addSummary(summary, nowNanos).stream()).toList();
	}

	/**
	 * Takes note of the load of another failure domain.
	 * @param domain the failure domain
	 * @param services its load by name of service
	 * @param nowNanos the time
	 */
	public void observeDomainLoad(String domain, Map<String, ServiceLoad> services, long nowNanos) {
		if (this.domainLoads.size() < this.limits.maxPeerCount() || this.domainLoads.containsKey(domain)) {
			this.domainLoads.put(domain, new TimedLoad(Map.copyOf(services), nowNanos));
		}
	}

	/**
	 * Returns the load of another failure domain.
	 * @param domain the failure domain
	 * @param nowNanos the time
	 * @return the load by name of service, empty if nothing recent is known
	 */
	public Map<String, ServiceLoad> domainLoad(String domain, long nowNanos) {
		TimedLoad load = this.domainLoads.get(domain);
		return (load != null && load.ageMillis(nowNanos) <= this.limits.summaryLostAfterMillis()) ? load.services()
				: Map.of();
	}

	/**
	 * Takes note that a connection with a peer has closed; it is suspect until it is
	 * heard of again.
	 * @param address the peer address
	 * @param nowNanos the time
	 */
	public void observeDisconnect(HostAddress address, long nowNanos) {
		this.peers.markDisconnected(address, nowNanos);
	}

	/**
	 * Takes note of the platform's list of entry hosts, which replaces the one before.
	 * @param hosts the entry hosts of all failure domains
	 */
	public void observeListedHosts(List<ListedHost> hosts) {
		this.listed = hosts.stream()
			.limit(this.limits.maxPeerCount())
			.collect(Collectors.toUnmodifiableMap(ListedHost::address, Function.identity(), (first, second) -> second));
	}

	/**
	 * Forgets peers that have been lost for long.
	 * @param nowNanos the time
	 */
	public void evictLost(long nowNanos) {
		this.peers.evictLost(nowNanos);
	}

	/**
	 * Returns the known peers, lost ones too, without this host.
	 * @param nowNanos the time
	 * @return the peers in the order of their addresses
	 */
	public List<PeerView> peers(long nowNanos) {
		return views(nowNanos).sorted(Comparator.comparing((view) -> view.host().peerAddress())).toList();
	}

	/**
	 * Returns the known peers of a failure domain, lost ones too, without this host.
	 * @param domain the failure domain
	 * @param nowNanos the time
	 * @return the peers in the order of their addresses
	 */
	public List<PeerView> peersOf(String domain, long nowNanos) {
		return peers(nowNanos).stream().filter((view) -> view.host().domain().equals(domain)).toList();
	}

	/**
	 * Returns the failure domains that are known from peers, the platform's list and this
	 * host.
	 * @return the names of the domains, in order
	 */
	public List<String> domains() {
		Stream<String> known = this.peers.entries().stream().map((entry) -> entry.host().domain());
		Stream<String> ofList = this.listed.values().stream().map(ListedHost::domain);
		return Stream.of(known, ofList, Stream.of(this.self.domain()))
			.flatMap(Function.identity())
			.distinct()
			.sorted()
			.toList();
	}

	/**
	 * Returns the peer at an address.
	 * @param address the peer address
	 * @param nowNanos the time
	 * @return the peer, if it is known
	 */
	public Optional<PeerView> peerAt(HostAddress address, long nowNanos) {
		return this.peers.at(address).map((entry) -> entry.view(this.limits, nowNanos));
	}

	/**
	 * Returns who holds the tickets of a run of an entry host: an heir that says so, or
	 * else the run itself. The peer may be lost. This host is not considered.
	 * @param incarnation the run
	 * @param nowNanos the time
	 * @return the peer, if one is known
	 */
	public Optional<PeerView> holderOf(Incarnation incarnation, long nowNanos) {
		Optional<PeerView> heir = views(nowNanos)
			.filter((view) -> view.status().heldIncarnations().contains(incarnation))
			.min(Comparator.comparing((PeerView view) -> view.liveness())
				.thenComparing((view) -> view.status().leaving())
				.thenComparing(PeerView::ageMillis)
				.thenComparing((view) -> view.host().peerAddress()));
		return heir.or(() -> views(nowNanos).filter((view) -> view.host().incarnation().equals(incarnation)).findAny());
	}

	/**
	 * Returns whether a run has ended for certain, since a younger run was heard at its
	 * address lately.
	 * @param address the peer address of the run
	 * @param incarnation the run
	 * @param nowNanos the time
	 * @return {@code true} if the run is known to have ended; {@code false} if it may run
	 */
	public boolean isReplaced(HostAddress address, Incarnation incarnation, long nowNanos) {
		if (address.equals(this.self.peerAddress())) {
			return !incarnation.equals(this.self.incarnation());
		}
		return peerAt(address, nowNanos).filter((view) -> view.liveness() != Liveness.LOST)
			.filter((view) -> view.host().incarnation().compareTo(incarnation) > 0)
			.isPresent();
	}

	/**
	 * Returns the peers that could take over the tickets of this host, best first.
	 * @param nowNanos the time
	 * @return peers of the same failure domain that serve and stay
	 */
	public List<PeerView> successorCandidates(long nowNanos) {
		List<PeerView> serving = peersOf(this.self.domain(), nowNanos).stream()
			.filter(PeerView::isServing)
			.filter((view) -> view.source() == PeerSource.HEARTBEAT)
			.filter((view) -> !isListedAsLeaving(view.host().peerAddress()))
			.toList();
		return Rendezvous.rank(this.self.toString(), serving, (view) -> view.host().toString());
	}

	/**
	 * Returns the entry hosts of the platform's list that were never heard of.
	 * @return the hosts in the order of their addresses
	 */
	public List<ListedHost> uncontactedHosts() {
		return this.listed.values()
			.stream()
			.filter((host) -> this.peers.at(host.address()).isEmpty()
					&& !host.address().equals(this.self.peerAddress()))
			.sorted(Comparator.comparing(ListedHost::address))
			.toList();
	}

	/**
	 * Returns what is in force on each entry host, this one included, by failure domain.
	 * Hosts that the platform lists and that were never heard of are unknown; hosts that
	 * left are left out.
	 * @param ownStatus the status of this host
	 * @param nowNanos the time
	 * @return the hosts by failure domain
	 */
	public Map<String, List<HostVersionStatus>> versionStatusByDomain(PeerStatus ownStatus, long nowNanos) {
		PeerView own = new PeerView(this.self, ownStatus, Liveness.ALIVE, 0, PeerSource.HEARTBEAT, 0);
		List<PeerView> staying = Stream.concat(Stream.of(own), views(nowNanos))
			.filter((view) -> !hasDeparted(view))
			.toList();
		return HostVersionStatus.byDomain(staying, uncontactedHosts());
	}

	private boolean hasDeparted(PeerView view) {
		if (view.liveness() != Liveness.LOST) {
			return false;
		}
		boolean unlisted = !this.listed.isEmpty() && !this.listed.containsKey(view.host().peerAddress());
		return view.status().leaving() || (unlisted && view.ageMillis() > this.limits.departedAfterMillis());
	}

	private boolean isListedAsLeaving(HostAddress address) {
		ListedHost host = this.listed.get(address);
		return host != null && host.leaving();
	}

	private Stream<PeerView> views(long nowNanos) {
		return this.peers.entries().stream().map((entry) -> entry.view(this.limits, nowNanos));
	}

	/**
	 * Holds the load of a failure domain.
	 *
	 * @param services the load by name of service
	 * @param seenNanos when it was heard of
	 */
	private record TimedLoad(Map<String, ServiceLoad> services, long seenNanos) {

		long ageMillis(long nowNanos) {
			return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.seenNanos);
		}

	}

}
