package org.masticwick.core.connection;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;

/**
 * Holds the latest entry of each peer and decides whether incoming information is newer.
 * Safe for several threads; reads see an immutable copy.
 */
final class PeerTable {

	private final EntryHost self;

	private final MembershipLimits limits;

	private volatile Map<HostAddress, PeerEntry> peers = Map.of();

	/** When each incarnation that announced its shutdown was last seen. */
	private final Map<Incarnation, Long> shutdownNanos = new ConcurrentHashMap<>();

	PeerTable(EntryHost self, MembershipLimits limits) {
		this.self = self;
		this.limits = limits;
	}

	Collection<PeerEntry> entries() {
		return this.peers.values();
	}

	Optional<PeerEntry> find(HostAddress address) {
		return Optional.ofNullable(this.peers.get(address));
	}

	boolean hasAnnouncedShutdown(Incarnation incarnation) {
		return this.shutdownNanos.containsKey(incarnation);
	}

	synchronized boolean addHello(EntryHost host, long nowNanos) {
		PeerEntry existing = this.peers.get(host.peerAddress());
		if (existing != null && existing.host().equals(host)) {
			put(existing.withDisconnected(false), nowNanos);
			return false;
		}
		if (!isNewIncarnation(host, existing, PeerSource.HELLO, nowNanos)) {
			return false;
		}
		put(new PeerEntry(host, -1, PeerStatus.NONE, nowNanos, PeerSource.HELLO, false), nowNanos);
		return true;
	}

	synchronized Optional<PeerView> addHeartbeat(EntryHost host, long sequence, boolean loadComplete, PeerStatus status,
			long nowNanos) {
		PeerEntry existing = this.peers.get(host.peerAddress());
		boolean sameIncarnation = existing != null && existing.host().equals(host);
		if ((sameIncarnation) ? sequence <= existing.sequence()
				: !isNewIncarnation(host, existing, PeerSource.HEARTBEAT, nowNanos)) {
			return Optional.empty();
		}
		LoadReport load = (sameIncarnation && !loadComplete)
				? LoadChanges.apply(existing.status().load(), status.load()) : status.load();
		return put(new PeerEntry(host, sequence, status.withLoad(load), nowNanos, PeerSource.HEARTBEAT, false),
				nowNanos);
	}

	synchronized Optional<PeerView> addSummary(HostSummary summary, long nowNanos) {
		EntryHost host = summary.host();
		PeerEntry existing = this.peers.get(host.peerAddress());
		boolean sameIncarnation = existing != null && existing.host().equals(host);
		if ((sameIncarnation) ? !isNewer(summary, existing, nowNanos)
				: !isNewIncarnation(host, existing, PeerSource.SUMMARY, nowNanos)) {
			return Optional.empty();
		}
		PeerStatus status = summary.status();
		if (status == null) {
			if (!sameIncarnation || existing.status().digest() != summary.statusDigest()) {
				return Optional.empty();
			}
			status = existing.status();
		}
		long lastSeenNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, summary.ageMillis()));
		return put(new PeerEntry(host, summary.sequence(), status, lastSeenNanos, PeerSource.SUMMARY, false), nowNanos);
	}

	synchronized void markDisconnected(HostAddress address, long nowNanos) {
		PeerEntry existing = this.peers.get(address);
		if (existing != null) {
			put(existing.withDisconnected(true), nowNanos);
		}
	}

	synchronized void evictLost(long nowNanos) {
		this.shutdownNanos.values()
			.removeIf((
					seenNanos) -> TimeUnit.NANOSECONDS.toMillis(nowNanos - seenNanos) > this.limits.evictAfterMillis());
		Map<HostAddress, PeerEntry> remaining = new HashMap<>(this.peers);
		remaining.values().removeIf((entry) -> entry.ageMillis(nowNanos) > this.limits.evictAfterMillis());
		if (remaining.size() < this.peers.size()) {
			this.peers = Map.copyOf(remaining);
		}
	}

	private boolean isNewer(HostSummary summary, PeerEntry existing, long nowNanos) {
		boolean sendsHeartbeats = existing.source() == PeerSource.HEARTBEAT
				&& existing.view(this.limits, nowNanos).liveness() == Liveness.ALIVE;
		return summary.sequence() > existing.sequence() && !sendsHeartbeats;
	}

	private boolean isNewIncarnation(EntryHost host, PeerEntry existing, PeerSource source, long nowNanos) {
		if (host.peerAddress().equals(this.self.peerAddress())) {
			return false;
		}
		if (existing == null || host.incarnation().compareTo(existing.host().incarnation()) > 0) {
			return true;
		}
		// The clocks of two machines differ, so an incarnation with an earlier start time
		// may be the newer one. It is accepted if it made contact itself (a summary does
		// not count) and the existing incarnation is lost.
		return source != PeerSource.SUMMARY && !Objects.equals(host, existing.host())
				&& existing.view(this.limits, nowNanos).liveness() == Liveness.LOST;
	}

	private void recordShutdown(Incarnation incarnation, long nowNanos) {
		if (this.shutdownNanos.containsKey(incarnation) || this.shutdownNanos.size() < this.limits.maxPeerCount()) {
			this.shutdownNanos.put(incarnation, nowNanos);
		}
	}

	private Optional<PeerView> put(PeerEntry entry, long nowNanos) {
		if (entry.status().leaving()) {
			recordShutdown(entry.host().incarnation(), nowNanos);
		}
		Map<HostAddress, PeerEntry> updated = new HashMap<>(this.peers);
		updated.put(entry.host().peerAddress(), entry);
		if (updated.size() > this.limits.maxPeerCount()) {
			updated.values()
				.stream()
				.max(Comparator.comparing((peer) -> peer.ageMillis(nowNanos)))
				.ifPresent((oldest) -> updated.remove(oldest.host().peerAddress()));
		}
		this.peers = Map.copyOf(updated);
		return Optional.of(entry.view(this.limits, nowNanos));
	}

}
