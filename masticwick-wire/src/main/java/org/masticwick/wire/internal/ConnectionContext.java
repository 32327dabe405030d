package org.masticwick.wire.internal;

import java.util.function.Supplier;

import org.masticwick.core.process.EntryHost;
import org.masticwick.wire.PeerMessageHandler;
import org.masticwick.wire.PeerTransportSettings;
import org.masticwick.wire.TrafficCounters;

/**
 * Holds what all connections of a transport share.
 *
 * @param settings the settings
 * @param identity tells who this host is, or {@code null} as long as it is not known
 * @param handler handles the messages of peers
 * @param traffic counts messages
 */
public record ConnectionContext(PeerTransportSettings settings, Supplier<EntryHost> identity,
		PeerMessageHandler handler, TrafficCounters traffic) {
}
