package org.masticwick.core.request.internal;

import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.TaskSpec;

/**
 * A task that was started and whose outcome has not been recorded.
 *
 * @param id the id of the task
 * @param spec the description of the task
 * @param job its job
 * @param service the state of its service
 * @param endpoint the endpoint on which it was started
 * @param startNanos the time at which it was started, in nanoseconds of the monotonic
 * clock
 * @param expectedNanos its expected run time in nanoseconds
 * @param probe whether it probes an ejected endpoint
 */
record RunningTask(TaskId id, TaskSpec spec, JobEntry job, ServiceState service, EndpointView endpoint, long startNanos,
		double expectedNanos, boolean probe) {

}
