package org.masticwick.core.request;

import org.masticwick.core.version.EndpointSpec;

/**
 * The decision to start a task on an endpoint.
 *
 * @param task the task
 * @param spec the description of the task
 * @param endpoint the endpoint that runs the task
 * @param leaseMillis the lease of the task: the time after which the endpoint stops it,
 * in milliseconds
 * @param probe whether the start probes an ejected endpoint
 */
public record StartCommand(TaskId task, TaskSpec spec, EndpointSpec endpoint, long leaseMillis, boolean probe) {

}
