package org.masticwick.core.request.internal;

import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.TaskSpec;

/**
 * Is a task that was started and has not ended.
 *
 * @param id the task
 * @param spec what runs
 * @param job its job
 * @param endpoint where it runs
 * @param startNanos when it was started
 * @param expectedNanos its expected run time in nanoseconds
 * @param probe whether it tries out an ejected endpoint
 */
record RunningTask(TaskId id, TaskSpec spec, JobEntry job, EndpointView endpoint, long startNanos, double expectedNanos,
		boolean probe) {

}
