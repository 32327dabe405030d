package org.masticwick.fleet.request;

/**
 * An HTTP request of a caller.
 *
 * @param method the HTTP method
 * @param hostName the virtual host: the Host header without the port
 * @param path the path
 * @param query the query without its question mark, or an empty string
 * @param timeoutMillis how long the caller waits for the reply, in milliseconds, or 0 if
 * the request does not state it
 * @param body the body
 */
public record CallerRequest(String method, String hostName, String path, String query, long timeoutMillis,
		byte[] body) {
}
