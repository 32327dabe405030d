package org.masticwick.core.connection;

import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.EntryHost;

/**
 * Latest information about a peer in the {@link PeerTable}.
 *
 * @param host the peer
 * @param sequence the sequence number of the last heartbeat, -1 if there was none
 * @param status the status that the peer reported
 * @param lastSeenNanos when the peer sent the heartbeat or hello that this information
 * comes from, in nanoseconds of the monotonic clock of this host
 * @param source the source of the status
 * @param disconnected whether a connection of the peer has closed since then
 */
record PeerEntry(EntryHost host, long sequence, PeerStatus status, long lastSeenNanos, PeerSource source,
		boolean disconnected) {

	PeerView view(MembershipLimits limits, long nowNanos) {
		long ageMillis = ageMillis(nowNanos);
		return new PeerView(this.host, this.status, liveness(limits, ageMillis), ageMillis, this.source, this.sequence);
	}

	long ageMillis(long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lastSeenNanos));
	}

	PeerEntry withDisconnected(boolean newDisconnected) {
		return new PeerEntry(this.host, this.sequence, this.status, this.lastSeenNanos, this.source, newDisconnected);
	}

	private Liveness liveness(MembershipLimits limits, long ageMillis) {
		Liveness byAge = limits.liveness(this.source, ageMillis);
		return (this.disconnected && byAge == Liveness.ALIVE) ? Liveness.SUSPECT : byAge;
	}

}
