package org.masticwick.fleet.request;

/**
 * A request of a caller.
 *
 * @param method the HTTP method
 * @param hostName the virtual host
 * @param path the path
 * @param query what stands behind the path, or an empty string
 * @param timeoutMillis how long the caller waits, in milliseconds, or 0 if it does not
 * tell
 * @param body the body
 */
public record CallerRequest(String method, String hostName, String path, String query, long timeoutMillis,
		byte[] body) {
}
