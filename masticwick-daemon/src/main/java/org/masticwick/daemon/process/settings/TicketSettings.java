package org.masticwick.daemon.process.settings;

/**
 * The section {@code tickets}: limits on the tickets that an entry host issues.
 *
 * @param lifetimeMillis how long a ticket is valid, in milliseconds
 * @param blockCountMax the maximum number of tickets per request
 */
public record TicketSettings(long lifetimeMillis, int blockCountMax) {

}
