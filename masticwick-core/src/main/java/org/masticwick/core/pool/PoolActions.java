package org.masticwick.core.pool;

/**
 * Carries out what the scheduler of a pool decides. No method may call the scheduler back
 * before it returns.
 */
public interface PoolActions {

	/**
	 * Orders an endpoint to start a task.
	 * @param endpoint the endpoint
	 * @param run the run
	 * @param payload what to run
	 * @param checkpoint where to go on from, or an empty string
	 */
	void start(EndpointEntry endpoint, TaskRun run, String payload, String checkpoint);

	/**
	 * Orders an endpoint to stop a run, or never to start it.
	 * @param endpoint the endpoint
	 * @param run the run
	 * @param reason why, for the log
	 */
	void stop(EndpointEntry endpoint, TaskRun run, String reason);

	/**
	 * Answers a job.
	 * @param job the job
	 * @param outcome the final answer
	 */
	void answer(PooledJob job, JobOutcome outcome);

	/**
	 * Takes note that a run of a durable job has ended. The endpoint keeps the end until
	 * {@link PoolScheduler#terminationStored} says that it need not.
	 * @param job the job
	 * @param termination the end
	 */
	void durableRunTerminated(PooledJob job, TerminationId termination);

	/**
	 * Takes note of the end of a run that this owner does not know, and that may belong
	 * to a durable job of another one. The endpoint keeps the end until
	 * {@link PoolScheduler#orphanedTerminationRecorded} says that the other owner has it.
	 * @param termination the end
	 * @param terminatedRun what ended and how
	 */
	void orphanedRunTerminated(TerminationId termination, TerminatedRun terminatedRun);

}
