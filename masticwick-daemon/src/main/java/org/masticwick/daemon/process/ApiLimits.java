package org.masticwick.daemon.process;

/**
 * Bounds what the HTTP server takes.
 *
 * @param bodyBytes how large a body may be, in bytes
 * @param maxWaitMillis how long a caller may wait on one request, in milliseconds
 */
record ApiLimits(int bodyBytes, long maxWaitMillis) {

}
