package org.masticwick.daemon.process.settings;

/**
 * The section {@code requests}: limits on the requests of callers.
 *
 * @param bodyBytesMax the maximum size of a request body, in bytes
 * @param payloadBytesMax the maximum size of the payload of a task, in bytes
 * @param resultBytesMax the maximum size of the result of a task, in bytes
 * @param headerBytesMax the maximum size of the header section of a request, in bytes
 * @param jobTaskCountMax the maximum number of tasks of a job
 * @param waitMaxMillis the maximum time that a request waits for the answer of its job,
 * in milliseconds
 * @param deadlineDefaultMillis the deadline of a job whose request sets none, in
 * milliseconds from its submission
 * @param deadlineMaxMillis the maximum deadline that a request may set, in milliseconds
 * @param bodyTimeoutMillis the maximum time in which a whole request must arrive, from
 * its first byte on, in milliseconds
 * @param rememberedBytesMax the memory for the answers of completed jobs; while it is
 * full, no new jobs are accepted, in bytes
 */
public record RequestSettings(int bodyBytesMax, int payloadBytesMax, int resultBytesMax, int headerBytesMax,
		int jobTaskCountMax, long waitMaxMillis, long deadlineDefaultMillis, long deadlineMaxMillis,
		long bodyTimeoutMillis, long rememberedBytesMax) {

}
