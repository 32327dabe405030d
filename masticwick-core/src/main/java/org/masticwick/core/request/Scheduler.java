package org.masticwick.core.request;

import java.util.List;

import org.masticwick.core.connection.LoadReport;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.SiteVersion;

/**
 * Decides on an entry host which job is admitted, which task starts next and on which
 * endpoint. It does no I/O and reads no clock: the caller carries out what it decides and
 * tells it what came of it. All methods may be called from any thread. Times are in
 * nanoseconds of one monotonic clock.
 */
public interface Scheduler {

	/**
	 * Takes a whole job into the queue, or refuses it whole. A ticket is admitted once.
	 * @param job the job
	 * @param nowNanos the time
	 * @return the verdict
	 * @throws IllegalStateException if tasks of the same ticket are queued or running
	 */
	Admission admit(JobSubmission job, long nowNanos);

	/**
	 * Decides what starts now. Each start that is returned counts as outstanding until
	 * {@link #ended} is called for it, exactly once.
	 * @param nowNanos the time
	 * @return what to start, what was dropped and when to call again
	 */
	SchedulingDecisions schedule(long nowNanos);

	/**
	 * Takes in what came of a start.
	 * @param task the task
	 * @param outcome what came of it
	 * @param nowNanos the time
	 * @return what becomes of the task; {@link Disposition.Done} for a task that isn't
	 * running
	 */
	Disposition recordOutcome(TaskId task, StartOutcome outcome, long nowNanos);

	/**
	 * Takes the tasks of a job out of the queue. Those that run stay outstanding until
	 * {@link #ended} is called, and are not queued again.
	 * @param ticket the ticket of the job
	 * @param nowNanos the time
	 * @return the tasks that were queued, and so are never started
	 */
	List<TaskId> cancel(String ticket, long nowNanos);

	/**
	 * Takes over a version of the site. A version that isn't newer is passed over.
	 * @param version the version
	 * @param nowNanos the time
	 */
	void updateVersion(SiteVersion version, long nowNanos);

	/**
	 * Takes in what became known of an endpoint. Endpoints of which nothing was told
	 * count as live.
	 * @param endpoint the address of the endpoint
	 * @param state its state
	 * @param nowNanos the time
	 */
	void updateEndpointState(HostAddress endpoint, EndpointState state, long nowNanos);

	/**
	 * Takes in the load of a peer.
	 * @param peer the peer, of any domain
	 * @param load its load
	 * @param nowNanos the time at which the report came
	 */
	void recordPeerLoad(EntryHost peer, LoadReport load, long nowNanos);

	/**
	 * Forgets a peer that left or was lost.
	 * @param peer the peer
	 */
	void removePeer(EntryHost peer);

	/**
	 * Returns the load of this host for its peers.
	 * @param nowNanos the time
	 * @return the load
	 */
	LoadReport loadReport(long nowNanos);

	/**
	 * Returns what the scheduler knows, for the dump and the metrics.
	 * @param nowNanos the time
	 * @return an immutable copy
	 */
	SchedulerSnapshot snapshot(long nowNanos);

}
