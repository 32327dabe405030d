package org.masticwick.core.request;

import java.util.List;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.SiteVersion;

/**
 * Decides on an entry host which jobs are admitted, which task starts next and on which
 * endpoint. A scheduler does no I/O and reads no clock: the caller passes the current
 * time, executes the decisions and records their outcomes. All methods are thread-safe.
 * Times are in nanoseconds of one monotonic clock.
 */
public interface Scheduler {

	/**
	 * Queues all tasks of a job or rejects the job.
	 * @param job the job
	 * @param nowNanos the current time
	 * @return whether the job was admitted, and otherwise the reason
	 * @throws IllegalStateException if tasks of the same ticket are queued or running
	 */
	Admission admit(JobSubmission job, long nowNanos);

	/**
	 * Runs one scheduling pass. Each start that it returns counts as outstanding until
	 * {@link #recordOutcome} is called for its task, which must happen exactly once.
	 * @param nowNanos the current time
	 * @return the tasks to start, the dropped tasks and the time of the next pass
	 */
	SchedulingDecisions schedule(long nowNanos);

	/**
	 * Records the outcome of a start.
	 * @param task the task that was started
	 * @param outcome the outcome of the start
	 * @param nowNanos the current time
	 * @return what happens to the task; {@link Disposition.Done} if the task is not
	 * outstanding
	 */
	Disposition recordOutcome(TaskId task, StartOutcome outcome, long nowNanos);

	/**
	 * Removes the tasks of a job from the queue. Tasks that were already started stay
	 * outstanding until {@link #recordOutcome} is called, and are not queued again.
	 * @param ticket the ticket of the job
	 * @param nowNanos the current time
	 * @return the removed tasks, which will never be started; empty if the job is unknown
	 */
	List<TaskId> cancel(String ticket, long nowNanos);

	/**
	 * Replaces the active version of the site. A version that is not newer than the
	 * active one is ignored.
	 * @param version the version
	 * @param nowNanos the current time
	 */
	void updateVersion(SiteVersion version, long nowNanos);

	/**
	 * Updates the reported state of an endpoint. Endpoints without a reported state count
	 * as live.
	 * @param endpoint the address of the endpoint
	 * @param state the reported state
	 * @param nowNanos the current time
	 */
	void updateEndpointState(HostAddress endpoint, EndpointState state, long nowNanos);

	/**
	 * Records the load report of a peer.
	 * @param peer the peer, of any failure domain
	 * @param load the load that the peer reported
	 * @param nowNanos the time at which the report was received
	 */
	void recordPeerLoad(EntryHost peer, LoadReport load, long nowNanos);

	/**
	 * Removes the state of a peer that left or was lost.
	 * @param peer the peer
	 */
	void removePeer(EntryHost peer);

	/**
	 * Returns the load report of this host for its peers.
	 * @param nowNanos the current time
	 * @return the load report
	 */
	LoadReport loadReport(long nowNanos);

	/**
	 * Returns a snapshot of the scheduler's state for the dump and the metrics.
	 * @param nowNanos the current time
	 * @return the snapshot
	 */
	SchedulerSnapshot snapshot(long nowNanos);

}
