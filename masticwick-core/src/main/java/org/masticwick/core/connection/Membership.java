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
 * Tracks the entry hosts of the site and their liveness. Its sources are hellos,
 * heartbeats, summaries from other failure domains, closed connections and the platform's
 * host list. That list lags behind, so it only names hosts to contact and says nothing
 * about their liveness. Safe for several threads; reads take no lock. Times are in
 * nanoseconds of the monotonic clock of this host.
 */
public final class Membership {

	private final EntryHost self;

	private final MembershipLimits limits;

	private final PeerTable peers;

	private final Map<String, TimedLoad> domainLoads = new ConcurrentHashMap<>();

	private volatile Map<HostAddress, ListedHost> listedHosts = Map.of();

	/**
	 * Creates a membership without peers.
	 * @param self the identity of this host
	 * @param limits the limits of age and number of the peers
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
	 * Records the hello of a peer on a connection.
	 * @param host the peer
	 * @param nowNanos the current time
	 * @return {@code true} if this incarnation of the peer is new and was recorded
	 */
	public boolean observeHello(EntryHost host, long nowNanos) {
		return this.peers.addHello(host, nowNanos);
	}

	/**
	 * Records a heartbeat. A heartbeat that is older than the current entry of the peer
	 * is ignored.
	 * @param host the sender
	 * @param sequence the sequence number of the heartbeat
	 * @param loadComplete whether the load in the status is complete and replaces the
	 * previous one; otherwise it contains only changed entries
	 * @param status the status that the sender reports
	 * @param nowNanos the current time
	 * @return the updated peer, or empty if the heartbeat was ignored
	 */
	public Optional<PeerView> observeHeartbeat(EntryHost host, long sequence, boolean loadComplete, PeerStatus status,
			long nowNanos) {
		return this.peers.addHeartbeat(host, sequence, loadComplete, status, nowNanos);
	}

	/**
	 * Records summaries that another host sent. Summaries that are older than the current
	 * entry of the peer are ignored, and so are summaries of peers whose own heartbeats
	 * arrive.
	 * @param summaries the summaries
	 * @param nowNanos the current time
	 * @return the updated peers
	 */
	public List<PeerView> observeSummaries(List<HostSummary> summaries, long nowNanos) {
		return summaries.stream().flatMap((summary) -> this.peers.addSummary(summary, nowNanos).stream()).toList();
	}

	/**
	 * Records the load of another failure domain. It is ignored if the domain is new and
	 * the limit on the number of peers is reached.
	 * @param domain the failure domain
	 * @param services the load by service name
	 * @param nowNanos the current time
	 */
	public void observeDomainLoad(String domain, Map<String, ServiceLoad> services, long nowNanos) {
		if (this.domainLoads.size() < this.limits.maxPeerCount() || this.domainLoads.containsKey(domain)) {
			this.domainLoads.put(domain, new TimedLoad(Map.copyOf(services), nowNanos));
		}
	}

	/**
	 * Returns the load of another failure domain.
	 * @param domain the failure domain
	 * @param nowNanos the current time
	 * @return the load by service name; empty if there is no recent report
	 */
	public Map<String, ServiceLoad> domainLoad(String domain, long nowNanos) {
		TimedLoad load = this.domainLoads.get(domain);
		return (load != null && load.ageMillis(nowNanos) <= this.limits.summaryLostAfterMillis()) ? load.services()
				: Map.of();
	}

	/**
	 * Records that a connection with a peer has closed. The peer is suspect until its
	 * next hello, heartbeat or summary.
	 * @param address the peer address
	 * @param nowNanos the current time
	 */
	public void observeDisconnect(HostAddress address, long nowNanos) {
		this.peers.markDisconnected(address, nowNanos);
	}

	/**
	 * Records the platform's host list, which replaces the previous list.
	 * @param hosts the entry hosts of all failure domains
	 */
	public void observeListedHosts(List<ListedHost> hosts) {
		this.listedHosts = hosts.stream()
			.limit(this.limits.maxPeerCount())
			.collect(Collectors.toUnmodifiableMap(ListedHost::address, Function.identity(), (first, last) -> last));
	}

	/**
	 * Evicts peers if the information about them is older than
	 * {@link MembershipLimits#evictAfterMillis()}.
	 * @param nowNanos the current time
	 */
	public void evictLost(long nowNanos) {
		this.peers.evictLost(nowNanos);
	}

	/**
	 * Returns all peers, including lost peers and excluding this host.
	 * @param nowNanos the current time
	 * @return the peers in the order of their addresses
	 */
	public List<PeerView> peers(long nowNanos) {
		return views(nowNanos).sorted(Comparator.comparing((view) -> view.host().peerAddress())).toList();
	}

	/**
	 * Returns the peers of a failure domain, including lost peers and excluding this
	 * host.
	 * @param domain the failure domain
	 * @param nowNanos the current time
	 * @return the peers in the order of their addresses
	 */
	public List<PeerView> peersOf(String domain, long nowNanos) {
		return peers(nowNanos).stream().filter((view) -> view.host().domain().equals(domain)).toList();
	}

	/**
	 * Returns the failure domains of the peers, of the hosts in the platform's list and
	 * of this host.
	 * @return the sorted names of the domains
	 */
	public List<String> domains() {
		Stream<String> domainsOfPeers = this.peers.entries().stream().map((entry) -> entry.host().domain());
		Stream<String> listedDomains = this.listedHosts.values().stream().map(ListedHost::domain);
		return Stream.of(domainsOfPeers, listedDomains, Stream.of(this.self.domain()))
			.flatMap(Function.identity())
			.distinct()
			.sorted()
			.toList();
	}

	/**
	 * Returns the peer at an address.
	 * @param address the peer address
	 * @param nowNanos the current time
	 * @return the peer, or empty if there was no contact with a peer at this address
	 */
	public Optional<PeerView> peerAt(HostAddress address, long nowNanos) {
		return this.peers.find(address).map((entry) -> entry.view(this.limits, nowNanos));
	}

	/**
	 * Returns the peer that holds the tickets which an incarnation of an entry host
	 * issued: a successor that reports to hold them, or else that incarnation itself. The
	 * peer may be lost. This host is not considered.
	 * @param incarnation the issuing incarnation
	 * @param nowNanos the current time
	 * @return the peer, or empty if no peer is the holder
	 */
	public Optional<PeerView> holderOf(Incarnation incarnation, long nowNanos) {
		Optional<PeerView> successor = views(nowNanos)
			.filter((view) -> view.status().heldIncarnations().contains(incarnation))
			.min(Comparator.comparing((PeerView view) -> view.liveness())
				.thenComparing((view) -> view.status().leaving())
				.thenComparing(PeerView::ageMillis)
				.thenComparing((view) -> view.host().peerAddress()));
		return successor
			.or(() -> views(nowNanos).filter((view) -> view.host().incarnation().equals(incarnation)).findAny());
	}

	/**
	 * Returns whether the tickets of an incarnation that has ended may have a holder that
	 * is not known yet: the last known holder, or the incarnation itself before it was
	 * replaced, announced its shutdown, and so handed its tickets over.
	 * @param incarnation the issuing incarnation
	 * @param nowNanos the current time
	 * @return {@code true} if a successor may become known
	 */
	public boolean mayHaveSuccessor(Incarnation incarnation, long nowNanos) {
		return holderOf(incarnation, nowNanos).map((holder) -> holder.status().leaving())
			.orElseGet(() -> this.peers.hasAnnouncedShutdown(incarnation));
	}

	/**
	 * Returns whether an incarnation has certainly ended, since a later incarnation is in
	 * contact at its address and is not lost.
	 * @param address the peer address of the incarnation
	 * @param incarnation the incarnation
	 * @param nowNanos the current time
	 * @return {@code true} if the incarnation has ended; {@code false} if it may still be
	 * running
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
	 * Returns the peers that can assume ownership of the tickets of this host when it
	 * shuts down, in order of preference.
	 * @param nowNanos the current time
	 * @return the peers of the same failure domain that serve requests, send heartbeats
	 * and are not leaving
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
	 * Returns the hosts of the platform's list that have no entry among the peers. This
	 * host is not included.
	 * @return the hosts in the order of their addresses
	 */
	public List<ListedHost> uncontactedHosts() {
		return this.listedHosts.values()
			.stream()
			.filter((host) -> this.peers.find(host.address()).isEmpty()
					&& !host.address().equals(this.self.peerAddress()))
			.sorted(Comparator.comparing(ListedHost::address))
			.toList();
	}

	/**
	 * Returns the active version and state of each entry host, including this host, by
	 * failure domain. Hosts of the platform's list without any contact have the state
	 * unknown. Departed hosts are omitted: lost hosts that announced a shutdown, and lost
	 * hosts that the platform no longer lists after
	 * {@link MembershipLimits#departedAfterMillis()}.
	 * @param ownStatus the status of this host
	 * @param nowNanos the current time
	 * @return the hosts by failure domain, in the order of their addresses
	 */
	public Map<String, List<HostVersionStatus>> versionStatusByDomain(PeerStatus ownStatus, long nowNanos) {
		PeerView own = new PeerView(this.self, ownStatus, Liveness.ALIVE, 0, PeerSource.HEARTBEAT, 0);
		List<PeerView> remaining = Stream.concat(Stream.of(own), views(nowNanos))
			.filter((view) -> !hasDeparted(view))
			.toList();
		return HostVersionStatus.byDomain(remaining, uncontactedHosts());
	}

	private boolean hasDeparted(PeerView view) {
		if (view.liveness() != Liveness.LOST) {
			return false;
		}
		boolean unlisted = !this.listedHosts.isEmpty() && !this.listedHosts.containsKey(view.host().peerAddress());
		return view.status().leaving() || (unlisted && view.ageMillis() > this.limits.departedAfterMillis());
	}

	private boolean isListedAsLeaving(HostAddress address) {
		ListedHost host = this.listedHosts.get(address);
		return host != null && host.leaving();
	}

	private Stream<PeerView> views(long nowNanos) {
		return this.peers.entries().stream().map((entry) -> entry.view(this.limits, nowNanos));
	}

	/**
	 * The load of a failure domain with the time of its report.
	 *
	 * @param services the load by service name
	 * @param receivedNanos when the report was received
	 */
	private record TimedLoad(Map<String, ServiceLoad> services, long receivedNanos) {

		long ageMillis(long nowNanos) {
			return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.receivedNanos);
		}

	}

}
