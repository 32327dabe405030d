package org.masticwick.core.pool;

/**
 * The loss of an endpoint on which a task was running.
 *
 * @param run the run of the task
 * @param endpoint the lost incarnation of the endpoint
 * @param state what is known of the endpoint since
 * @param attributable whether the run was alone on the endpoint and had just started, so
 * that a crash was most likely caused by it
 */
public record TaskLoss(TaskRun run, EndpointIncarnation endpoint, State state, boolean attributable) {

	/**
	 * Returns the same loss in another state.
	 * @param newState the state
	 * @return the loss
	 */
	TaskLoss withState(State newState) {
		return new TaskLoss(this.run, this.endpoint, newState, this.attributable);
	}

	/**
	 * What is known of a lost endpoint. States are ordered: a later one replaces an
	 * earlier one, in whatever order hosts learn of them.
	 */
	public enum State {

		/** The endpoint has not been heard since, nor a successor. */
		UNEXPLAINED,

		/** The same incarnation was heard again: it was only unreachable. */
		CLEARED,

		/** The endpoint crashed: a later incarnation has taken its place. */
		CRASHED

	}

}
