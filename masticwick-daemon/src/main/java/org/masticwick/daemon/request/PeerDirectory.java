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
	 * Returns whether a run of an entry host is lost: it was replaced, or it has not been
	 * heard of for too long.
	 * @param host the run
	 * @return {@code true} if no request should wait for it
	 */
	boolean isLost(EntryHost host);

	/**
	 * Returns the reachable hosts of a failure domain, this one among them.
	 * @param domain the failure domain
	 * @return the hosts
	 */
	List<EntryHost> reachableHosts(String domain);

	/**
	 * Returns the hosts that could take over this process's tickets, best first.
	 * @return the hosts
	 */
	List<EntryHost> successorCandidates();

}
