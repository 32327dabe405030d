package org.masticwick.daemon.process;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.masticwick.core.connection.Liveness;
import org.masticwick.core.connection.Membership;
import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.process.TimeSource;
import org.masticwick.daemon.request.PeerDirectory;

/**
 * Finds the entry hosts to which requests are forwarded and tickets are handed over, by
 * the information in the membership.
 */
final class MembershipDirectory implements PeerDirectory {

	private final Membership membership;

	private final TimeSource time;

	private final long startNanos;

	private final long discoveryNanos;

	/**
	 * Creates a directory.
	 * @param membership the known peers
	 * @param time the clock
	 * @param discoveryMillis the time after its creation within which this host discovers
	 * every reachable peer, in milliseconds; a host that is still unknown after it counts
	 * as lost
	 */
	MembershipDirectory(Membership membership, TimeSource time, long discoveryMillis) {
		this.membership = membership;
		this.time = time;
		this.startNanos = time.nanoTime();
		this.discoveryNanos = TimeUnit.MILLISECONDS.toNanos(discoveryMillis);
	}

	@Override
	public Optional<HostAddress> holderOf(Incarnation incarnation) {
		return this.membership.holderOf(incarnation, this.time.nanoTime())
			.filter((peer) -> peer.liveness() != Liveness.LOST)
			.map((peer) -> peer.host().peerAddress());
	}

	@Override
	public boolean isLost(EntryHost host) {
		long nowNanos = this.time.nanoTime();
		if (nowNanos - this.startNanos <= this.discoveryNanos) {
			// Until then an unknown host may hold the tickets, also those of the previous
			// incarnation at its own address.
			return false;
		}
		if (this.membership.isReplaced(host.peerAddress(), host.incarnation(), nowNanos)) {
			return true;
		}
		Optional<PeerView> peer = this.membership.peerAt(host.peerAddress(), nowNanos);
		return peer.map((view) -> view.liveness() == Liveness.LOST).orElse(true);
	}

	@Override
	public boolean mayHaveSuccessor(Incarnation incarnation) {
		return this.membership.mayHaveSuccessor(incarnation, this.time.nanoTime());
	}

	@Override
	public List<EntryHost> reachableHosts(String domain) {
		Stream<EntryHost> peers = this.membership.peersOf(domain, this.time.nanoTime())
			.stream()
			.filter((peer) -> peer.liveness() == Liveness.ALIVE)
			.map(PeerView::host);
		EntryHost self = this.membership.self();
		return Stream.concat(peers, Stream.of(self).filter((host) -> host.domain().equals(domain))).toList();
	}

	@Override
	public List<EntryHost> successorCandidates() {
		return this.membership.successorCandidates(this.time.nanoTime()).stream().map(PeerView::host).toList();
	}

}
