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
 * Chooses which hosts of a failure domain send summaries to another domain, and whom they
 * send them to. The tasks are dealt out in turn over the hosts in the order of their
 * addresses, so that each gets its share, and hosts that know the same peers agree
 * without asking each other.
 */
final class DomainLinks {

	private final Membership membership;

	private final int linkCount;

	DomainLinks(Membership membership, int linkCount) {
		this.membership = membership;
		this.linkCount = linkCount;
	}

	/**
	 * Returns whom this host sends summaries to in another domain. When all hosts of the
	 * domain are lost, they are tried in turn.
	 * @param targetDomain the other domain
	 * @param round a number that grows with each summary
	 * @param nowNanos the time
	 * @return the host, or nothing if others have this task or nobody is known
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
