package org.masticwick.fleet.connection;

import java.util.Map;

/**
 * A call over HTTP.
 *
 * @param method the method
 * @param target the path and the query
 * @param headers further headers
 * @param body the body, which may be empty
 * @param timeoutMillis how long the answer may take, in milliseconds
 */
public record HttpCall(String method, String target, Map<String, String> headers, byte[] body, long timeoutMillis) {
}
