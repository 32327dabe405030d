package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.masticwick.core.process.HostAddress;

/**
 * Selects the peers that receive the periodic report of a host. On a small site these are
 * all peers. On a larger one they are the hosts of its own failure domain, which may have
 * to assume ownership, and the owners of all pools, which run its callers' jobs; an owner
 * reports to all peers. So the number of messages of a host grows with its failure
 * domain, and their total not with the square of the number of hosts.
 */
final class ReportRecipients {

	private final MemberRecord self;

	ReportRecipients(MemberRecord self) {
		this.self = self;
	}

	/**
	 * Selects the recipients of a report.
	 * @param singleOwnerSite whether one host owns all pools, so that any may have to
	 * assume ownership
	 * @param ownsPool whether this host owns a pool
	 * @param peers the addresses of all peers
	 * @param memberByAddress finds the member with an address; one without a member
	 * record receives reports
	 * @param owners the addresses of the hosts that own a pool
	 * @return the addresses of the recipients, without this host
	 */
	List<HostAddress> select(boolean singleOwnerSite, boolean ownsPool, Collection<HostAddress> peers,
			Function<HostAddress, Optional<MemberRecord>> memberByAddress, Set<HostAddress> owners) {
		return peers.stream()
			.filter((peer) -> !peer.equals(this.self.peerAddress()))
			.filter((peer) -> singleOwnerSite || ownsPool || mayShareDomain(memberByAddress.apply(peer))
					|| owners.contains(peer))
			.toList();
	}

	private boolean mayShareDomain(Optional<MemberRecord> member) {
		return member.filter((peerMember) -> !peerMember.domain().equals(this.self.domain())).isEmpty();
	}

}
