package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

import org.masticwick.core.process.HostAddress;

/**
 * Decides to whom a host tells that it lives. On a small site that is everybody. On a
 * larger one it is the hosts of its own failure domain, which may have to step in for an
 * owner, and the owners of all pools, which run its callers' jobs; an owner tells
 * everybody. So the messages grow with the size of a failure domain instead of with the
 * square of the site.
 */
final class ReportRecipients {

	private final MemberRecord self;

	ReportRecipients(MemberRecord self) {
		this.self = self;
	}

	/**
	 * Decides.
	 * @param singleOwnerSite whether one host owns all pools, and any may have to step in
	 * @param ownsPool whether this host owns a pool
	 * @param peers the peers that are known
	 * @param memberByAddress finds the member behind an address
	 * @param isOwner tells whether a host owns a pool
	 * @return whom to report to
	 */
	List<HostAddress> select(boolean singleOwnerSite, boolean ownsPool, Collection<HostAddress> peers,
			Function<HostAddress, Optional<MemberRecord>> memberByAddress, Predicate<HostAddress> isOwner) {
		return peers.stream()
			.filter((peer) -> !peer.equals(this.self.peerAddress()))
			.filter((peer) -> singleOwnerSite || ownsPool || mayShareDomain(memberByAddress.apply(peer))
					|| isOwner.test(peer))
			.toList();
	}

	private boolean mayShareDomain(Optional<MemberRecord> member) {
		return member.filter((peerMember) -> !peerMember.domain().equals(this.self.domain())).isEmpty();
	}

}
