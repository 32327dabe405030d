package org.masticwick.daemon.request;

import java.util.List;
import java.util.Optional;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * Tells which entry hosts there are, as far as the path of a request needs it.
 */
public interface PeerDirectory {

	/**
	 * Returns the host that holds the tickets of an incarnation and is not known to be
	 * lost.
	 * @param incarnation the incarnation
	 * @return its peer address
	 */
	Optional<HostAddress> holderOf(Incarnation incarnation);

	/**
	 * Returns whether enough time has passed since this process started, or since it last
	 * heard of the domain, that a host it does not know of must be lost.
	 * @param home the home of a ticket
	 * @return {@code true} if the host is lost
	 */
	boolean lost(HostAddress home);

	/**
	 * Returns the reachable hosts of a failure domain, this one among them.
	 * @param domain the failure domain
	 * @return the hosts
	 */
	List<EntryHost> reachable(String domain);

	/**
	 * Returns the hosts that could take over this process's tickets, best first.
	 * @return the hosts
	 */
	List<EntryHost> heirCandidates();

}
