package org.masticwick.daemon.process;

/**
 * Limits on the requests that the HTTP server accepts.
 *
 * @param headerBytes the maximum size of the request line and of the header section,
 * each, in bytes
 * @param bodyBytes the maximum size of a request body, in bytes
 * @param totalBodyBytes the maximum total size of the bodies of all unanswered requests,
 * in bytes
 * @param requestTimeoutMillis the maximum time from the first to the last byte of a
 * request, in milliseconds
 * @param maxWaitMillis the maximum time that a request may wait for the answer of its
 * job, in milliseconds
 */
record ApiLimits(int headerBytes, int bodyBytes, long totalBodyBytes, long requestTimeoutMillis, long maxWaitMillis) {

}
