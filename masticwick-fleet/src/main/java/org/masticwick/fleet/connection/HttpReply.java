package org.masticwick.fleet.connection;

/**
 * The answer to a call over HTTP.
 *
 * @param status the status
 * @param body the body
 */
public record HttpReply(int status, byte[] body) {
}
