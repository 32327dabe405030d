package org.masticwick.fleet.version;

/**
 * Limits on the requests of callers.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param idleTimeoutMillis the time without a request after which a connection is closed,
 * in milliseconds
 */
public record RequestLimits(int maxBodyBytes, long idleTimeoutMillis) {
}
