package org.masticwick.core.pool;

/**
 * Executes the decisions of the scheduler of a pool. No method may change the scheduler
 * before it returns.
 */
public interface PoolActions {

	/**
	 * Requests an endpoint to start a task.
	 * @param endpoint the endpoint
	 * @param run the run
	 * @param payload the payload of the task
	 * @param checkpoint the checkpoint to resume from, or an empty string
	 */
	void start(EndpointEntry endpoint, TaskRun run, String payload, String checkpoint);

	/**
	 * Requests an endpoint to stop a run, or never to start it.
	 * @param endpoint the endpoint
	 * @param run the run
	 * @param reason the reason, for the log
	 */
	void stop(EndpointEntry endpoint, TaskRun run, String reason);

	/**
	 * Answers a job.
	 * @param job the job
	 * @param outcome the final answer
	 */
	void answer(PooledJob job, JobOutcome outcome);

	/**
	 * Reports that a run of a durable job has terminated. The endpoint keeps the
	 * termination until {@link PoolScheduler#terminationStored} is called.
	 * @param jobId the id of the job
	 * @param termination the termination
	 */
	void durableRunTerminated(String jobId, TerminationId termination);

	/**
	 * Reports the termination of an orphaned run, which this owner does not know and
	 * which may belong to a durable job of another one. The endpoint keeps the
	 * termination until {@link PoolScheduler#orphanedTerminationRecorded} is called.
	 * @param termination the termination
	 * @param terminatedRun the terminated run
	 */
	void orphanedRunTerminated(TerminationId termination, TerminatedRun terminatedRun);

	/**
	 * Reports that a run was lost together with its endpoint.
	 * @param lostRun the run
	 */
	void runLost(LostRun lostRun);

	/**
	 * Reports that an endpoint has started again, so that it has forgotten all its runs.
	 * @param endpoint the endpoint
	 * @param startedEpochMillis the start time of its new incarnation, in milliseconds
	 * since 1970
	 */
	void endpointRestarted(EndpointEntry endpoint, long startedEpochMillis);

	/**
	 * Reports a loss of an endpoint under a task, or what has become known of it, for the
	 * other hosts and the shared log.
	 * @param loss the loss
	 */
	void taskLossChanged(TaskLoss loss);

	/**
	 * Reports whether a task under which endpoints were lost is started again.
	 * @param task the task
	 * @param verdict the decision
	 * @param crashCount how many endpoints have crashed under the task
	 * @param unexplainedCount how many more were lost and not heard since
	 */
	void restartDecided(TaskId task, RestartVerdict verdict, int crashCount, int unexplainedCount);

	/**
	 * Reports, once a job, that its tasks wait although capacity may be free, because it
	 * may have a run of a previous owner.
	 * @param job the job
	 * @param reason the reason, for the log
	 */
	void jobHeld(PooledJob job, String reason);

}
