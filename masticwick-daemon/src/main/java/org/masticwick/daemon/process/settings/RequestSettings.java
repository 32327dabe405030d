package org.masticwick.daemon.process.settings;

/**
 * Bounds the requests of callers.
 *
 * @param bodyBytesMax the largest body, in bytes
 * @param payloadBytesMax the largest payload of a task, in bytes
 * @param resultBytesMax the largest result of a task, in bytes
 * @param headerBytesMax the largest header section, in bytes
 * @param jobTaskCountMax the most tasks of a job
 * @param waitMaxMillis the longest wait for an answer, in milliseconds
 * @param deadlineDefaultMillis the deadline of a job that names none, in milliseconds
 * @param deadlineMaxMillis the longest deadline, in milliseconds
 * @param bodyTimeoutMillis how long the body of a request may take, in milliseconds
 * @param rememberedBytesMax how much is kept of jobs that have ended, in bytes
 */
public record RequestSettings(int bodyBytesMax, int payloadBytesMax, int resultBytesMax, int headerBytesMax,
		int jobTaskCountMax, long waitMaxMillis, long deadlineDefaultMillis, long deadlineMaxMillis,
		long bodyTimeoutMillis, long rememberedBytesMax) {

}
