package org.masticwick.core.request;

import org.masticwick.core.process.ErrorCode;

/**
 * A queued task that was removed from the queue and will never be started.
 *
 * @param task the task
 * @param code the reason why the task was removed
 * @param retryAfterMillis the delay after which the caller may submit the job again, in
 * milliseconds; 0 if another attempt would fail as well
 */
public record DroppedTask(TaskId task, ErrorCode code, long retryAfterMillis) {

}
