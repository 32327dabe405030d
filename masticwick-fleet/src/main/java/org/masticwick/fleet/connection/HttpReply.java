package org.masticwick.fleet.connection;

/**
 * A server's reply to an HTTP call.
 *
 * @param status the HTTP status
 * @param body the body, which may be empty
 */
public record HttpReply(int status, byte[] body) {
}
