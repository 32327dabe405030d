package org.masticwick.cli.request;

import okhttp3.HttpUrl;

/**
 * A ticket with its issuer and expiry, as far as they are known to the caller.
 *
 * @param text the text of the ticket
 * @param host the host that issued the ticket
 * @param expiresAtEpochMillis when the ticket expires, in milliseconds since the epoch
 */
public record Ticket(String text, HttpUrl host, long expiresAtEpochMillis) {

}
