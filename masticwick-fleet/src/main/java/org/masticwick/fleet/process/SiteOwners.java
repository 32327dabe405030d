package org.masticwick.fleet.process;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;

/**
 * The other owners of the site, as an owner sees them that registers its jobs with them.
 */
interface SiteOwners {

	/**
	 * Returns the pool whose owner registers a job. It depends on the id of the job
	 * alone.
	 * @param jobId the id of the job
	 * @return the name of the pool
	 */
	String registrarPool(String jobId);

	/**
	 * Returns the owner of a pool of another owner.
	 * @param pool the name of the pool
	 * @return the peer address of the owner, or empty if it is unreachable, or this host
	 */
	Optional<HostAddress> reachableOwner(String pool);

	/**
	 * Returns the owner of a pool, reachable or not.
	 * @param pool the name of the pool
	 * @return the peer address of the owner, or empty if there is none
	 */
	Optional<HostAddress> owner(String pool);

	/**
	 * Returns all other hosts that own a pool or have owned one of this host's pools
	 * until lately.
	 * @return the peer addresses of those that are reachable
	 */
	Set<HostAddress> reachableOwners();

	/**
	 * Returns whether a host owns a pool, as far as this host knows.
	 * @param host the peer address of the host
	 * @return whether it does
	 */
	boolean isOwner(HostAddress host);

	/**
	 * Returns whether an owner that is unreachable may run a job: it may have started the
	 * job before it was lost, and its leases have not expired.
	 * @param receivedMillis when the callers' host received the job, in milliseconds
	 * @return whether that is still open; {@code false} if the job came later than an
	 * owner was lost, also if that owner lives and can't be reached
	 */
	boolean mayRunAtLostOwner(long receivedMillis);

	/**
	 * Returns since when this host has been in contact with all owners without a gap.
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if one is unreachable
	 */
	long contactSinceMillis();

	/**
	 * Registers a job with another owner.
	 * @param owner the peer address of the owner
	 * @param registration the job
	 * @return its answer
	 */
	CompletableFuture<PeerMessage> register(HostAddress owner, JobRegistration registration);

}
