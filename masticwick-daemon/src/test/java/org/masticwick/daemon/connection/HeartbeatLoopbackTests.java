package org.masticwick.daemon.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.MembershipLimits;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.wire.NettyPeerTransport;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessageHandler;
import org.masticwick.wire.PeerTransportSettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link HeartbeatService} on real connections.
 */
class HeartbeatLoopbackTests {

	private final List<Host> hosts = new ArrayList<>();

	private Host start(String domain, HostAddress... seeds) {
		Host host = new Host(domain, List.of(seeds));
		this.hosts.add(host);
		return host;
	}

	@AfterEach
	void closeAll() {
		this.hosts.forEach(Host::close);
	}

	@Test
	void hostsMeetHearOfLeavingAndOfClosedConnections() {
		Host first = start("north");
		Host second = start("north", first.address());
		Host third = start("south", first.address());
		await().until(() -> this.hosts.stream()
			.allMatch((host) -> host.peers().size() == 2 && host.peers().stream().allMatch(PeerView::isServing)));
		second.status = leaving(second.status);
		second.service.sendNow();
		await().until(() -> first.view(second).status().leaving() && third.view(second).status().leaving());
		second.close();
		await().until(() -> first.view(second).liveness() != Liveness.ALIVE);
		assertThat(first.membership.successorCandidates(TimeSource.system().nanoTime())).isEmpty();
	}

	private static PeerStatus leaving(PeerStatus status) {
		return new PeerStatus(status.versionNumber(), status.logOffset(), status.logHash(), status.ready(), true,
				status.heldIncarnations(), status.apiAddress(), status.load());
	}

	private static final class Host implements PeerMessageHandler {

		private final NettyPeerTransport transport;

		private final Membership membership;

		private final HeartbeatService service;

		private volatile EntryHost identity;

		private volatile PeerStatus status = new PeerStatus(1, 1, null, true, false, List.of(), null,
				PeerStatus.NO_LOAD);

		private Host(String domain, List<HostAddress> seeds) {
			this.transport = NettyPeerTransport.bind(PeerTransportSettings.of("127.0.0.1", 0), () -> this.identity,
					this);
			EntryHost self = new EntryHost(domain, address(), new Incarnation(1, address().port()));
			this.membership = new Membership(self, MembershipLimits.defaults());
			this.service = new HeartbeatService(HeartbeatSettings.of(seeds), this.transport, this.membership,
					() -> this.status, new PeerListener() {
					}, TimeSource.system());
			this.identity = self;
			this.service.start();
		}

		HostAddress address() {
			return this.transport.localAddress();
		}

		List<PeerView> peers() {
			return this.membership.peers(TimeSource.system().nanoTime());
		}

		PeerView view(Host other) {
			return this.membership.peerAt(other.address(), TimeSource.system().nanoTime()).orElseThrow();
		}

		void close() {
			this.service.close();
			this.transport.close();
		}

		@Override
		public CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress from) {
			this.service.handle(message, from);
			return null;
		}

		@Override
		public void disconnected(HostAddress peer) {
			this.service.disconnected(peer);
		}

	}

}
