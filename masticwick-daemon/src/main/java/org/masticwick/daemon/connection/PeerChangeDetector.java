package org.masticwick.daemon.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.HostAddress;

/**
 * Compares successive views of the peers and notifies a listener of each peer that was
 * lost or replaced in between. Not safe for several threads.
 */
final class PeerChangeDetector {

	private final PeerListener listener;

	private Map<HostAddress, PeerView> previousPeers = Map.of();

	PeerChangeDetector(PeerListener listener) {
		this.listener = listener;
	}

	void update(List<PeerView> peers) {
		Map<HostAddress, PeerView> currentPeers = new HashMap<>();
		peers.forEach((peer) -> currentPeers.put(peer.host().peerAddress(), peer));
		Map<HostAddress, PeerView> comparedPeers = this.previousPeers;
		this.previousPeers = currentPeers;
		peers.forEach((peer) -> compare(comparedPeers.get(peer.host().peerAddress()), peer));
	}

	private void compare(PeerView previous, PeerView current) {
		if (previous == null) {
			return;
		}
		if (!previous.host().equals(current.host())) {
			this.listener.peerReplaced(previous.host(), current);
		}
		else if (previous.liveness() != Liveness.LOST && current.liveness() == Liveness.LOST) {
			this.listener.peerLost(current);
		}
	}

}
