package org.masticwick.daemon.process.settings;

/**
 * Bounds the tickets that an entry host issues.
 *
 * @param lifetimeMillis how long a ticket is valid, in milliseconds
 * @param blockCountMax how many tickets one request gets at most
 */
public record TicketSettings(long lifetimeMillis, int blockCountMax) {

}
