package org.masticwick.fleet.connection;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskRun;

/**
 * Calls to endpoints. All answers fail with {@link CallException}.
 */
public interface EndpointCalls {

	/**
	 * Orders an endpoint to start a task, and renews its lease.
	 * @param endpoint the endpoint
	 * @param run the run
	 * @param payload what to run
	 * @param checkpoint where to go on from, or an empty string
	 * @param fencingToken the token of the owner
	 * @param leaseEndMillis until when all tasks of the endpoint may run, by its clock,
	 * in milliseconds
	 * @return empty if the task runs, else why not
	 */
	CompletableFuture<Optional<StartRefusal>> start(EndpointEntry endpoint, TaskRun run, String payload,
			String checkpoint, long fencingToken, long leaseEndMillis);

	/**
	 * Orders an endpoint to stop a run, or never to start it.
	 * @param endpoint the endpoint
	 * @param run the run
	 * @param fencingToken the token of the owner
	 * @return whether the order was taken; not if another owner has a higher token
	 */
	CompletableFuture<Boolean> stop(EndpointEntry endpoint, TaskRun run, long fencingToken);

	/**
	 * Asks an endpoint for its lists, and renews its lease.
	 * @param endpoint the endpoint
	 * @param fencingToken the token of the owner
	 * @param acknowledgedTerminationNumber up to which end the endpoint may forget its
	 * list
	 * @param leaseEndMillis until when its tasks may run, or empty to leave that as it is
	 * @param waitMillis how long to wait for an end, in milliseconds
	 * @param timeoutMillis how long the answer may take, in milliseconds
	 * @return the lists, or empty if another owner has a higher token
	 */
	CompletableFuture<Optional<EndpointReport>> renew(EndpointEntry endpoint, long fencingToken,
			long acknowledgedTerminationNumber, OptionalLong leaseEndMillis, long waitMillis, long timeoutMillis);

}
