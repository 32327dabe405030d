package org.masticwick.daemon.connection;

/**
 * Bounds the calls to endpoints.
 *
 * @param connectTimeoutMillis how long a connection may take to open, in milliseconds
 * @param queryTimeoutMillis how long a look-up or a cancellation may take, in
 * milliseconds
 * @param maxResultBytes how large a result may be, in bytes
 */
public record EndpointLimits(long connectTimeoutMillis, long queryTimeoutMillis, long maxResultBytes) {

}
