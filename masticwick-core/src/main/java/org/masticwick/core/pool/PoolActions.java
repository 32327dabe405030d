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
	 */
	void start(EndpointEntry endpoint, TaskRun run, String payload);

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

}
