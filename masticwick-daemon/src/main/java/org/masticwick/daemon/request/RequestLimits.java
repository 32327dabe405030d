package org.masticwick.daemon.request;

/**
 * Bounds what a caller may send.
 *
 * @param maxBodyBytes how large a body may be, in bytes
 * @param maxPayloadBytes how large the payload of a task may be, in bytes
 * @param maxTaskCount how many tasks a job may have
 * @param defaultDeadlineMillis the deadline of a job that names none, in milliseconds
 * @param maxDeadlineMillis the longest deadline, in milliseconds
 * @param maxWaitMillis how long a caller may wait on one request, in milliseconds
 */
public record RequestLimits(int maxBodyBytes, int maxPayloadBytes, int maxTaskCount, long defaultDeadlineMillis,
		long maxDeadlineMillis, long maxWaitMillis) {

}
