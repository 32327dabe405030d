package org.masticwick.wire;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.netty.channel.EventLoopGroup;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.internal.ConnectionContext;
import org.masticwick.wire.internal.PeerChannels;
import org.masticwick.wire.internal.PeerLink;

/**
 * Carries messages over TCP, one connection for each direction between two hosts. A
 * connection on which nothing comes for the silence limit is closed, and the calls under
 * way on it fail; the next use opens a new one.
 */
public final class NettyPeerTransport implements PeerTransport {

	private static final int MAX_IDLE_LINK_COUNT = 256;

	private final Map<HostAddress, PeerLink> links = new ConcurrentHashMap<>();

	private final TrafficCounters traffic;

	private final PeerChannels channels;

	private NettyPeerTransport(ConnectionContext context, PeerChannels channels) {
		this.traffic = context.traffic();
		this.channels = channels;
	}

	/**
	 * Opens the listener. Peers are refused and not connected to until the identity is
	 * known.
	 * @param settings the settings
	 * @param identity tells who this host is, or {@code null} as long as it is not known
	 * @param handler handles the messages of peers
	 * @return the transport
	 * @throws PeerException if the address can't be had
	 */
	public static NettyPeerTransport bind(PeerTransportSettings settings, Supplier<EntryHost> identity,
			PeerMessageHandler handler) {
		ConnectionContext context = new ConnectionContext(settings, identity, handler, new TrafficCounters());
		return new NettyPeerTransport(context, new PeerChannels(context));
	}

	/**
	 * Opens the listener and runs on event loops of the caller, which are left open when
	 * the transport is closed.
	 * @param settings the settings
	 * @param identity tells who this host is, or {@code null} as long as it is not known
	 * @param handler handles the messages of peers, on these event loops
	 * @param eventLoops the event loops
	 * @return the transport
	 * @throws PeerException if the address can't be had
	 */
	public static NettyPeerTransport bind(PeerTransportSettings settings, Supplier<EntryHost> identity,
			PeerMessageHandler handler, EventLoopGroup eventLoops) {
		ConnectionContext context = new ConnectionContext(settings, identity, handler, new TrafficCounters());
		return new NettyPeerTransport(context, new PeerChannels(context, eventLoops));
	}

	@Override
	public HostAddress localAddress() {
		return this.channels.localAddress();
	}

	@Override
	public CompletableFuture<PeerMessage> call(HostAddress to, PeerMessage request) {
		return link(to).call(request);
	}

	@Override
	public void send(HostAddress to, PeerMessage message) {
		link(to).send(message);
	}

	@Override
	public TrafficCounters traffic() {
		return this.traffic;
	}

	@Override
	public void close() {
		this.channels.close();
	}

	private PeerLink link(HostAddress to) {
		if (this.links.size() > MAX_IDLE_LINK_COUNT) {
			this.links.values().removeIf((link) -> !link.isInUse());
		}
		return this.links.computeIfAbsent(to, this.channels::link);
	}

}
