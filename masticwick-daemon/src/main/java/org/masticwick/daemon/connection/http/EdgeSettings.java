package org.masticwick.daemon.connection.http;

/**
 * Bounds the requests that a connection of a caller may send.
 *
 * @param maxHeaderBytes how large the request line and the headers may each be, in bytes
 * @param maxBodyBytes how large a body may be, in bytes
 * @param maxTotalBodyBytes how large the bodies of all connections may be together, in
 * bytes
 * @param requestTimeoutMillis how long a request may take from its first byte to its
 * last, in milliseconds
 * @param problemBodyWriter writes the body of a refusal
 */
public record EdgeSettings(int maxHeaderBytes, int maxBodyBytes, long maxTotalBodyBytes, long requestTimeoutMillis,
		ProblemBodyWriter problemBodyWriter) {

}
