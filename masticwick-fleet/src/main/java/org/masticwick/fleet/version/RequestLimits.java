package org.masticwick.fleet.version;

/**
 * Limits on the requests of callers.
 *
 * @param maxBodyBytes the largest body, in bytes
 * @param idleTimeoutMillis after how long without a request a connection is closed, in
 * milliseconds
 */
public record RequestLimits(int maxBodyBytes, long idleTimeoutMillis) {
}
