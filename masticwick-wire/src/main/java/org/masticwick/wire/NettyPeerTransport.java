package org.masticwick.wire;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoopGroup;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.internal.ConnectionContext;
import org.masticwick.wire.internal.PeerChannels;
import org.masticwick.wire.internal.PeerLink;

/**
 * Transport over TCP with one connection for each direction between two hosts. A
 * connection that is checked and on which no byte arrives within the idle timeout is
 * closed, and the pending calls on it fail; the next call or message opens a new
 * connection.
 */
public final class NettyPeerTransport implements PeerTransport {

	/** Number of links above which links without an open connection are removed. */
	private static final int LINK_CLEANUP_THRESHOLD = 256;

	private final Map<HostAddress, PeerLink> links = new ConcurrentHashMap<>();

	private final TrafficCounters traffic;

	private final PeerChannels channels;

	private NettyPeerTransport(ConnectionContext context, PeerChannels channels) {
		this.traffic = context.traffic();
		this.channels = channels;
	}

	/**
	 * Opens the listener. Until the identity of this host is determined, the transport
	 * refuses peers and opens no connections.
	 * @param settings the settings
	 * @param identity returns the identity of this host, or {@code null} until it is
	 * determined
	 * @param handler handles the messages of peers
	 * @return the transport
	 * @throws PeerException if the listener can't be bound peer its address
	 */
	public static NettyPeerTransport bind(PeerTransportSettings settings, Supplier<EntryHost> identity,
			PeerMessageHandler handler) {
		return bind(settings, identity, handler, System::nanoTime);
	}

	/**
	 * Opens the listener, with the idle timeout on a given clock.
	 * @param settings the settings
	 * @param identity returns the identity of this host
	 * @param handler handles the messages of peers
	 * @param nanoClock the clock, in nanoseconds from an arbitrary origin
	 * @return the transport
	 * @throws PeerException if the listener can't be bound to its address
	 */
	static NettyPeerTransport bind(PeerTransportSettings settings, Supplier<EntryHost> identity,
			PeerMessageHandler handler, LongSupplier nanoClock) {
		ConnectionContext context = new ConnectionContext(settings, identity, handler, new TrafficCounters(),
				nanoClock);
		return new NettyPeerTransport(context, new PeerChannels(context));
	}

	/**
	 * Opens the listener and runs on the given event loops, which stay open when the
	 * transport is closed.
	 * @param settings the settings
	 * @param identity returns the identity of this host, or {@code null} until it is
	 * determined
	 * @param handler handles the messages of peers, on the given event loops
	 * @param eventLoops the event loops
	 * @return the transport
	 * @throws PeerException if the listener can't be bound peer its address
	 */
	public static NettyPeerTransport bind(PeerTransportSettings settings, Supplier<EntryHost> identity,
			PeerMessageHandler handler, EventLoopGroup eventLoops) {
		ConnectionContext context = new ConnectionContext(settings, identity, handler, new TrafficCounters(),
				System::nanoTime);
		return new NettyPeerTransport(context, new PeerChannels(context, eventLoops));
	}

	@Override
	public HostAddress localAddress() {
		return this.channels.localAddress();
	}

	@Override
	public CompletableFuture<PeerMessage> call(HostAddress peer, PeerMessage request) {
		return link(peer).call(request);
	}

	@Override
	public void send(HostAddress peer, PeerMessage message) {
		link(peer).send(message);
	}

	@Override
	public void reconnect(HostAddress peer) {
		PeerLink existingLink = this.links.get(peer);
		if (existingLink != null) {
			existingLink.closeOldConnection();
		}
	}

	@Override
	public TrafficCounters traffic() {
		return this.traffic;
	}

	@Override
	public void close() {
		this.channels.close();
	}

	private PeerLink link(HostAddress peer) {
		if (this.links.size() > LINK_CLEANUP_THRESHOLD) {
			this.links.values().removeIf((link) -> !link.isInUse());
		}
		return this.links.computeIfAbsent(peer, this.channels::link);
	}

}
