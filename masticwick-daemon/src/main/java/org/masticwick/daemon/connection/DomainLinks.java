package org.masticwick.daemon.connection;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.connection.Rendezvous;
import org.masticwick.core.process.EntryHost;

/**
 * Chooses, by rendezvous hashing, which hosts of a failure domain send summaries to
 * another domain, and whom they send them to. Hosts that know the same peers agree
 * without asking each other.
 */
final class DomainLinks {

	private static final String ARROW = ">";

	private final Membership membership;

	private final int linkCount;

	DomainLinks(Membership membership, int linkCount) {
		this.membership = membership;
		this.linkCount = linkCount;
	}

	/**
	 * Returns whom this host sends summaries to in another domain. When all hosts of the
	 * domain are lost, they are tried in turn.
	 * @param domain the other domain
	 * @param round a number that grows with each summary
	 * @param nowNanos the time
	 * @return the host, or nothing if others have this task or nobody is known
	 */
	Optional<EntryHost> target(String domain, long round, long nowNanos) {
		String key = this.membership.self().domain() + ARROW + domain;
		if (!isSender(key, nowNanos)) {
			return Optional.empty();
		}
		List<PeerView> known = this.membership.peersOf(domain, nowNanos);
		List<EntryHost> alive = known.stream().filter(DomainLinks::stays).map(PeerView::host).toList();
		if (!alive.isEmpty()) {
			return Rendezvous.rank(key + this.membership.self(), alive, EntryHost::toString).stream().findFirst();
		}
		return known.stream().map(PeerView::host).skip((known.isEmpty()) ? 0 : round % known.size()).findFirst();
	}

	private boolean isSender(String key, long nowNanos) {
		EntryHost self = this.membership.self();
		Stream<EntryHost> others = this.membership.peersOf(self.domain(), nowNanos)
			.stream()
			.filter(DomainLinks::stays)
			.map(PeerView::host);
		List<EntryHost> candidates = Stream.concat(Stream.of(self), others).toList();
		return Rendezvous.rank(key, candidates, EntryHost::toString)
			.stream()
			.limit(this.linkCount)
			.anyMatch(self::equals);
	}

	private static boolean stays(PeerView view) {
		return view.liveness() == Liveness.ALIVE && !view.status().leaving();
	}

}
