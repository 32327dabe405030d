package org.masticwick.fleet.connection;

import java.util.Map;

/**
 * An HTTP request to a server.
 *
 * @param method the HTTP method
 * @param target the request target: path and query
 * @param headers headers besides the host and the content length
 * @param body the body, which may be empty
 * @param timeoutMillis how long to wait for the reply after sending, in milliseconds
 */
public record HttpCall(String method, String target, Map<String, String> headers, byte[] body, long timeoutMillis) {
}
