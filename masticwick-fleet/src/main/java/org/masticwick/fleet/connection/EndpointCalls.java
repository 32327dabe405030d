package org.masticwick.fleet.connection;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskRun;

/**
 * Commands and queries to endpoints. All returned futures fail with
 * {@link CallException}.
 */
public interface EndpointCalls {

	/**
	 * Commands an endpoint to start a run of a task, and renews the lease of all tasks on
	 * the endpoint.
	 * @param endpoint the endpoint
	 * @param run the run to start
	 * @param payload the payload of the task
	 * @param checkpoint the checkpoint to resume from, or an empty string to run from the
	 * start
	 * @param fencingToken the fencing token of the calling owner
	 * @param leaseEndMillis until when the tasks of the endpoint may run, by the
	 * endpoint's clock, in milliseconds
	 * @return empty if the run was started, else the reason of the refusal
	 */
	CompletableFuture<Optional<StartRefusal>> start(EndpointEntry endpoint, TaskRun run, String payload,
			String checkpoint, long fencingToken, long leaseEndMillis);

	/**
	 * Commands an endpoint to stop a run, or to refuse its start if the start command
	 * arrives later.
	 * @param endpoint the endpoint
	 * @param run the run to stop
	 * @param fencingToken the fencing token of the calling owner
	 * @return whether the endpoint accepted the command; {@code false} if it has accepted
	 * an owner with a higher token
	 */
	CompletableFuture<Boolean> stop(EndpointEntry endpoint, TaskRun run, long fencingToken);

	/**
	 * Requests the running tasks and terminated runs of an endpoint, and renews the lease
	 * of its tasks.
	 * @param endpoint the endpoint
	 * @param fencingToken the fencing token of the calling owner
	 * @param acknowledgedTerminationNumber the number of the last termination that the
	 * owner has processed; the endpoint may discard terminations up to it
	 * @param leaseEndMillis until when the tasks of the endpoint may run, by the
	 * endpoint's clock, in milliseconds; empty leaves the lease unchanged
	 * @param waitMillis how long the endpoint may delay its reply while there is no new
	 * termination, in milliseconds; 0 for an immediate reply
	 * @param timeoutMillis how long to wait for the reply, in milliseconds
	 * @return the report, or empty if the endpoint has accepted an owner with a higher
	 * token
	 */
	CompletableFuture<Optional<EndpointReport>> renew(EndpointEntry endpoint, long fencingToken,
			long acknowledgedTerminationNumber, OptionalLong leaseEndMillis, long waitMillis, long timeoutMillis);

}
