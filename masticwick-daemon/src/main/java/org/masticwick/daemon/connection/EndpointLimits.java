package org.masticwick.daemon.connection;

/**
 * Limits on calls to endpoints.
 *
 * @param connectTimeoutMillis the timeout for opening a connection, in milliseconds
 * @param queryTimeoutMillis the timeout for a status lookup or a cancellation, and for
 * writing any request, in milliseconds
 * @param maxResultBytes the maximum size of a result, in bytes
 */
public record EndpointLimits(long connectTimeoutMillis, long queryTimeoutMillis, long maxResultBytes) {

}
