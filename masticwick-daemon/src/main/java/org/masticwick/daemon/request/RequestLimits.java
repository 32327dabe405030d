package org.masticwick.daemon.request;

/**
 * Bounds what a caller may send.
 *
 * @param bodyBytes how large a body may be, in bytes
 * @param payloadBytes how large the payload of a task may be, in bytes
 * @param taskCount how many tasks a job may have
 * @param defaultDeadlineMillis the deadline of a job that names none, in milliseconds
 * @param maxDeadlineMillis the longest deadline, in milliseconds
 * @param maxWaitMillis how long a caller may wait on one request, in milliseconds
 */
public record RequestLimits(int bodyBytes, int payloadBytes, int taskCount, long defaultDeadlineMillis,
		long maxDeadlineMillis, long maxWaitMillis) {

}
