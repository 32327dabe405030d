package org.masticwick.daemon.connection;

/**
 * Bounds the calls to endpoints.
 *
 * @param connectMillis how long a connection may take to open, in milliseconds
 * @param questionMillis how long a look-up or a cancellation may take, in milliseconds
 * @param resultBytes how large a result may be, in bytes
 */
public record EndpointLimits(long connectMillis, long questionMillis, long resultBytes) {

}
