package org.masticwick.wire.internal;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.masticwick.core.process.EntryHost;
import org.masticwick.wire.PeerMessageHandler;
import org.masticwick.wire.PeerTransportSettings;
import org.masticwick.wire.TrafficCounters;

/**
 * Objects that all connections of a transport share.
 *
 * @param settings the settings
 * @param identity returns the identity of this host, or {@code null} until it is
 * determined
 * @param handler handles the messages of peers
 * @param traffic counts messages and bytes
 * @param nanoClock the clock of the idle timeout, in nanoseconds from an arbitrary origin
 */
public record ConnectionContext(PeerTransportSettings settings, Supplier<EntryHost> identity,
		PeerMessageHandler handler, TrafficCounters traffic, LongSupplier nanoClock) {
}
