package org.masticwick.daemon.connection;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;

/**
 * Selects which hosts of a failure domain send summaries to each other domain, and the
 * receiving hosts there. The links between domains are assigned round-robin to the hosts
 * in the order of their addresses. So each host gets an equal share, and hosts with the
 * same view of the membership agree without coordination.
 */
final class DomainLinks {

	private final Membership membership;

	private final int linkCount;

	DomainLinks(Membership membership, int linkCount) {
		this.membership = membership;
		this.linkCount = linkCount;
	}

	/**
	 * Returns the host of another domain to which this host sends summaries. Suspect,
	 * lost and leaving hosts are selected only if the domain has no other known host;
	 * then each round selects the next one of them in turn.
	 * @param targetDomain the other failure domain
	 * @param round a number that increases with each summary; selects among suspect, lost
	 * and leaving hosts
	 * @param nowNanos the current time on the monotonic clock
	 * @return the host; empty if all links to the domain are assigned to other hosts, or
	 * no host of the domain is known
	 */
	Optional<EntryHost> target(String targetDomain, long round, long nowNanos) {
		List<String> domains = this.membership.domains();
		List<HostAddress> senders = senders(nowNanos);
		int ownIndex = senders.indexOf(this.membership.self().peerAddress());
		return IntStream.range(0, this.linkCount)
			.filter((link) -> assignedIndex(domains.indexOf(targetDomain), link, senders.size()) == ownIndex)
			.boxed()
			.findFirst()
			.flatMap((link) -> receiver(targetDomain, link, round, nowNanos));
	}

	private Optional<EntryHost> receiver(String targetDomain, int link, long round, long nowNanos) {
		List<PeerView> peers = this.membership.peersOf(targetDomain, nowNanos);
		List<PeerView> availablePeers = peers.stream().filter(DomainLinks::isAvailable).toList();
		if (!availablePeers.isEmpty()) {
			int ownDomainIndex = this.membership.domains().indexOf(this.membership.self().domain());
			return Optional.of(availablePeers.get(assignedIndex(ownDomainIndex, link, availablePeers.size())).host());
		}
		return peers.stream().map(PeerView::host).skip((peers.isEmpty()) ? 0 : round % peers.size()).findFirst();
	}

	private List<HostAddress> senders(long nowNanos) {
		EntryHost self = this.membership.self();
		Stream<HostAddress> availablePeers = this.membership.peersOf(self.domain(), nowNanos)
			.stream()
			.filter(DomainLinks::isAvailable)
			.map((view) -> view.host().peerAddress());
		return Stream.concat(Stream.of(self.peerAddress()), availablePeers).sorted().toList();
	}

	private int assignedIndex(int domainIndex, int link, int hostCount) {
		return (domainIndex * this.linkCount + link) % hostCount;
	}

	private static boolean isAvailable(PeerView view) {
		return view.liveness() == Liveness.ALIVE && !view.status().leaving();
	}

}
