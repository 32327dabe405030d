package org.masticwick.core.request;

import org.masticwick.core.version.EndpointSpec;

/**
 * Tells to start a task on an endpoint.
 *
 * @param task the task
 * @param spec what to run
 * @param endpoint where to run it
 * @param leaseMillis how long the task may run, in milliseconds
 * @param probe whether the start tries out an endpoint that was ejected
 */
public record StartCommand(TaskId task, TaskSpec spec, EndpointSpec endpoint, long leaseMillis, boolean probe) {

}
