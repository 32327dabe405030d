package org.masticwick.daemon.connection.http;

/**
 * Bounds the requests that a connection of a caller may send.
 *
 * @param headerBytes how large the request line and the headers may each be, in bytes
 * @param bodyBytes how large a body may be, in bytes
 * @param requestTimeoutMillis how long a request may take from its first byte to its
 * last, in milliseconds
 * @param problemBody writes the body of a refusal
 */
public record EdgeSettings(int headerBytes, int bodyBytes, long requestTimeoutMillis, ProblemBody problemBody) {

}
