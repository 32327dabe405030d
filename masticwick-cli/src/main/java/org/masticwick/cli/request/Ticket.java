package org.masticwick.cli.request;

import okhttp3.HttpUrl;

/**
 * Is a ticket with what a caller knows about it.
 *
 * @param text the text of the ticket
 * @param host the host that issued it
 * @param expiresAtEpochMillis when it expires, in milliseconds since the epoch
 */
public record Ticket(String text, HttpUrl host, long expiresAtEpochMillis) {

}
