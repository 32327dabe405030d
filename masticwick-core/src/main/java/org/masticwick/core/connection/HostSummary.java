package org.masticwick.core.connection;

import org.masticwick.core.process.EntryHost;

/**
 * Tells other failure domains of one entry host, as its neighbours know it.
 *
 * @param host the entry host
 * @param sequence the sequence number of the heartbeat that the knowledge comes from
 * @param status what the host said of itself; its load holds services only
 * @param ageMillis how old the knowledge was when the summary was made, in milliseconds
 */
public record HostSummary(EntryHost host, long sequence, PeerStatus status, long ageMillis) {
}
