package org.masticwick.core.connection;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;

/**
 * Holds the newest knowledge of each peer and decides what is newer. Safe for several
 * threads; reads see a copy that does not change.
 */
final class PeerTable {

	private final EntryHost self;

	private final MembershipLimits limits;

	private volatile Map<HostAddress, PeerEntry> peers = Map.of();

	PeerTable(EntryHost self, MembershipLimits limits) {
		this.self = self;
		this.limits = limits;
	}

	Collection<PeerEntry> entries() {
		return this.peers.values();
	}

	Optional<PeerEntry> at(HostAddress address) {
		return Optional.ofNullable(this.peers.get(address));
	}

	synchronized boolean addHello(EntryHost host, long nowNanos) {
		PeerEntry known = this.peers.get(host.peerAddress());
		if (known != null && known.host().equals(host)) {
			put(known.withDisconnected(false), nowNanos);
			return false;
		}
		if (!isNewRun(host, known, PeerSource.HELLO, nowNanos)) {
			return false;
		}
		put(new PeerEntry(host, -1, PeerStatus.NONE, nowNanos, PeerSource.HELLO, false), nowNanos);
		return true;
	}

	synchronized Optional<PeerView> addHeartbeat(EntryHost host, long sequence, boolean loadComplete, PeerStatus status,
			long nowNanos) {
		PeerEntry known = this.peers.get(host.peerAddress());
		boolean sameRun = known != null && known.host().equals(host);
		if ((sameRun) ? sequence <= known.sequence() : !isNewRun(host, known, PeerSource.HEARTBEAT, nowNanos)) {
			return Optional.empty();
		}
		LoadReport load = (sameRun && !loadComplete) ? LoadChanges.apply(known.status().load(), status.load())
				: status.load();
		return put(new PeerEntry(host, sequence, status.withLoad(load), nowNanos, PeerSource.HEARTBEAT, false),
				nowNanos);
	}

	synchronized Optional<PeerView> addSummary(HostSummary summary, long nowNanos) {
		EntryHost host = summary.host();
		PeerEntry known = this.peers.get(host.peerAddress());
		boolean sameRun = known != null && known.host().equals(host);
		if ((sameRun) ? !isNews(summary, known, nowNanos) : !isNewRun(host, known, PeerSource.SUMMARY, nowNanos)) {
			return Optional.empty();
		}
		PeerStatus status = summary.status();
		if (status == null) {
			if (!sameRun || known.status().digest() != summary.statusDigest()) {
				return Optional.empty();
			}
			status = known.status();
		}
		long seenNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, summary.ageMillis()));
		return put(new PeerEntry(host, summary.sequence(), status, seenNanos, PeerSource.SUMMARY, false), nowNanos);
	}

	synchronized void markDisconnected(HostAddress address, long nowNanos) {
		PeerEntry known = this.peers.get(address);
		if (known != null) {
			put(known.withDisconnected(true), nowNanos);
		}
	}

	synchronized void evictLost(long nowNanos) {
		Map<HostAddress, PeerEntry> kept = new HashMap<>(this.peers);
		kept.values().removeIf((entry) -> entry.ageMillis(nowNanos) > this.limits.evictAfterMillis());
		if (kept.size() < this.peers.size()) {
			this.peers = Map.copyOf(kept);
		}
	}

	private boolean isNews(HostSummary summary, PeerEntry known, long nowNanos) {
		boolean heardItself = known.source() == PeerSource.HEARTBEAT
				&& known.view(this.limits, nowNanos).liveness() == Liveness.ALIVE;
		return summary.sequence() > known.sequence() && !heardItself;
	}

	private boolean isNewRun(EntryHost host, PeerEntry known, PeerSource source, long nowNanos) {
		if (host.peerAddress().equals(this.self.peerAddress())) {
			return false;
		}
		if (known == null || host.incarnation().compareTo(known.host().incarnation()) > 0) {
			return true;
		}
		// The clocks of two machines differ: a run that looks older is believed too if it
		// speaks for itself while the known one is lost.
		return source != PeerSource.SUMMARY && !Objects.equals(host, known.host())
				&& known.view(this.limits, nowNanos).liveness() == Liveness.LOST;
	}

	private Optional<PeerView> put(PeerEntry entry, long nowNanos) {
		Map<HostAddress, PeerEntry> changed = new HashMap<>(this.peers);
		changed.put(entry.host().peerAddress(), entry);
		if (changed.size() > this.limits.maxPeerCount()) {
			changed.values()
				.stream()
				.max(Comparator.comparing((other) -> other.ageMillis(nowNanos)))
				.ifPresent((oldest) -> changed.remove(oldest.host().peerAddress()));
		}
		this.peers = Map.copyOf(changed);
		return Optional.of(entry.view(this.limits, nowNanos));
	}

}
