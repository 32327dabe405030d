package org.masticwick.daemon.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.HostAddress;

/**
 * Tells a listener which peers were lost or replaced between two looks. Not safe for
 * several threads.
 */
final class PeerWatch {

	private final PeerListener listener;

	private Map<HostAddress, PeerView> lastSeen = Map.of();

	PeerWatch(PeerListener listener) {
		this.listener = listener;
	}

	void look(List<PeerView> peers) {
		Map<HostAddress, PeerView> seen = new HashMap<>();
		peers.forEach((peer) -> seen.put(peer.host().peerAddress(), peer));
		Map<HostAddress, PeerView> before = this.lastSeen;
		this.lastSeen = seen;
		peers.forEach((peer) -> compare(before.get(peer.host().peerAddress()), peer));
	}

	private void compare(PeerView before, PeerView now) {
		if (before == null) {
			return;
		}
		if (!before.host().equals(now.host())) {
			this.listener.peerReplaced(before.host(), now);
		}
		else if (before.liveness() != Liveness.LOST && now.liveness() == Liveness.LOST) {
			this.listener.peerLost(now);
		}
	}

}
