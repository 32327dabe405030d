package org.masticwick.core.connection;

import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.EntryHost;

/**
 * Holds what is known of a peer until something newer is heard.
 *
 * @param host the peer
 * @param sequence the sequence number of the last heartbeat, -1 if none was heard of
 * @param status what the peer said of itself
 * @param seenNanos when that was, on the monotonic clock of this host
 * @param source how it was heard of
 * @param disconnected whether a connection of the peer has closed since
 */
record PeerEntry(EntryHost host, long sequence, PeerStatus status, long seenNanos, PeerSource source,
		boolean disconnected) {

	PeerView view(MembershipLimits limits, long nowNanos) {
		long ageMillis = ageMillis(nowNanos);
		return new PeerView(this.host, this.status, liveness(limits, ageMillis), ageMillis, this.source, this.sequence);
	}

	long ageMillis(long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - this.seenNanos));
	}

	PeerEntry withDisconnected(boolean newDisconnected) {
		return new PeerEntry(this.host, this.sequence, this.status, this.seenNanos, this.source, newDisconnected);
	}

	private Liveness liveness(MembershipLimits limits, long ageMillis) {
		Liveness byAge = limits.liveness(this.source, ageMillis);
		return (this.disconnected && byAge == Liveness.ALIVE) ? Liveness.SUSPECT : byAge;
	}

}
