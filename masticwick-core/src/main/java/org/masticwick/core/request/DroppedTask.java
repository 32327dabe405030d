package org.masticwick.core.request;

import org.masticwick.core.process.ErrorCode;

/**
 * Tells that a queued task left the queue and is never started.
 *
 * @param task the task
 * @param code why
 * @param retryAfterMillis when to come back, in milliseconds from now; 0 if that doesn't
 * make sense
 */
public record DroppedTask(TaskId task, ErrorCode code, long retryAfterMillis) {

}
