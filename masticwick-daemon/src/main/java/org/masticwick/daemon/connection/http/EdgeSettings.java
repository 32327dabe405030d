package org.masticwick.daemon.connection.http;

/**
 * Limits on the requests that clients send to an HTTP server.
 *
 * @param maxHeaderBytes the maximum size of the request line, and that of the headers, in
 * bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxTotalBodyBytes the maximum total size of the request bodies of all
 * connections, in bytes
 * @param requestTimeoutMillis the maximum time from the first byte of a request to its
 * last, in milliseconds
 * @param problemBodyWriter writes the body of the response to a rejected request
 */
public record EdgeSettings(int maxHeaderBytes, int maxBodyBytes, long maxTotalBodyBytes, long requestTimeoutMillis,
		ProblemBodyWriter problemBodyWriter) {

}
