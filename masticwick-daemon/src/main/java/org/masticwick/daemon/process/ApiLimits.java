package org.masticwick.daemon.process;

/**
 * Bounds what the HTTP server takes.
 *
 * @param headerBytes how large the request line and the headers may each be, in bytes
 * @param bodyBytes how large a body may be, in bytes
 * @param requestTimeoutMillis how long a request may take to arrive, in milliseconds
 * @param maxWaitMillis how long a caller may wait on one request, in milliseconds
 */
record ApiLimits(int headerBytes, int bodyBytes, long requestTimeoutMillis, long maxWaitMillis) {

}
