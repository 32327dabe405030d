package org.masticwick.fleet.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.wire.PeerMessage;

/**
 * Receives the answers to jobs, and connects the owner with the other hosts.
 */
interface PoolOwnerListener {

	/**
	 * Delivers the answer to a job.
	 * @param origin the entry host and the call that wait for the answer
	 * @param jobId the id of the job
	 * @param outcome the answer
	 */
	void jobAnswered(JobOrigin origin, String jobId, JobOutcome outcome);

	/**
	 * Reports that another owner of a pool has a higher fencing token.
	 * @param pool the name of the pool, which this host owns no longer
	 */
	void poolFenced(String pool);

	/**
	 * Sends a copy of a job that does not run here to the pool that an earlier one went
	 * to.
	 * @param origin the callers' host and the call that wait for the answer
	 * @param jobId the id of the job
	 * @param pool the name of the pool
	 */
	void jobPlaced(JobOrigin origin, String jobId, String pool);

	/**
	 * Returns whether a pool has a reachable owner.
	 * @param pool the name of the pool
	 * @return whether jobs can be sent there
	 */
	boolean isPoolReachable(String pool);

	/**
	 * Returns whether durable jobs may exist that this host has not read.
	 * @return {@code false} if this host has not read their marker in the log and has
	 * seen none, and an owner has reported while no peer has seen any
	 */
	boolean mayHaveUnknownDurableJobs();

	/**
	 * Returns whether durable jobs are known to have been submitted to the site.
	 * @return whether this host has read their marker in the log, or it or a peer has
	 * seen any
	 */
	boolean hasSiteDurableJobs();

	/**
	 * Stores in the log that the site has durable jobs, unless that is stored already.
	 * @return completes when it is stored; fails with
	 * {@link org.masticwick.fleet.connection.CallException}
	 */
	CompletableFuture<Void> storeDurableJobsMarker();

	/**
	 * Forwards the termination of an orphaned run to the owner of its job.
	 * @param message the termination
	 * @return the answer of that owner
	 */
	CompletionStage<PeerMessage> forwardOrphanedTermination(PeerMessage.StrayEnd message);

}
