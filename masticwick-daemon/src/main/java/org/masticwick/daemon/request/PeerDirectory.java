package org.masticwick.daemon.request;

import java.util.List;
import java.util.Optional;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * Lists the entry hosts and their state, as far as the routing of requests needs them.
 */
public interface PeerDirectory {

	/**
	 * Returns the host that holds the tickets of an incarnation, unless that host is
	 * known to be lost.
	 * @param incarnation the incarnation that issued the tickets
	 * @return the peer address of the holder, or empty if there is none
	 */
	Optional<HostAddress> holderOf(Incarnation incarnation);

	/**
	 * Returns whether an incarnation of an entry host is lost: a newer incarnation has
	 * replaced it, or its last contact was too long ago.
	 * @param host the host with its incarnation
	 * @return {@code true} if no request should wait for it
	 */
	boolean isLost(EntryHost host);

	/**
	 * Returns whether a host that this host has not heard of yet may hold the tickets of
	 * an incarnation that has ended, because the last host known to hold them announced
	 * its shutdown.
	 * @param incarnation the incarnation that issued the tickets
	 * @return {@code true} if a successor may become known
	 */
	boolean mayHaveSuccessor(Incarnation incarnation);

	/**
	 * Returns the reachable hosts of a failure domain, including this host if it belongs
	 * to the domain.
	 * @param domain the failure domain
	 * @return the hosts
	 */
	List<EntryHost> reachableHosts(String domain);

	/**
	 * Returns the hosts that can inherit this host's tickets.
	 * @return the hosts, the most suitable first
	 */
	List<EntryHost> successorCandidates();

}
