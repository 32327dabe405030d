package org.masticwick.fleet.process;

import java.util.function.Supplier;

import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.version.VersionHolder;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Fetches newer published versions from peers, and answers peers that fetch that of this
 * host.
 */
final class VersionExchange {

	private final VersionHolder versions;

	private final Supplier<PeerTransport> transport;

	private final VersionPull pull = new VersionPull();

	/**
	 * Creates an instance that knows the version of no peer.
	 * @param versions the versions of this host
	 * @param transport returns the transport to the peers once the host is started
	 */
	VersionExchange(VersionHolder versions, Supplier<PeerTransport> transport) {
		this.versions = versions;
		this.transport = transport;
	}

	/**
	 * Records the active version of a peer.
	 * @param peer the address of the peer
	 * @param versionNumber the number of its version
	 * @param nowMillis the time in milliseconds
	 */
	void recordPeerVersion(HostAddress peer, long versionNumber, long nowMillis) {
		this.pull.recordPeerVersion(peer, versionNumber, this.versions.activeNumber(), nowMillis);
	}

	/**
	 * Fetches the newest version from a peer if it is due.
	 * @param nowMillis the time in milliseconds
	 */
	void tick(long nowMillis) {
		this.pull.peerToAsk(this.versions.activeNumber(), nowMillis).ifPresent(this::fetch);
	}

	private void fetch(HostAddress peer) {
		this.transport.get().call(peer, new PeerMessage.FetchVersion()).whenComplete((answer, error) -> {
			if (answer instanceof PeerMessage.PublishedVersion published
					&& published.versionNumber() > this.versions.activeNumber()) {
				this.versions.activateIfNewer(published.content(), "peer " + peer);
			}
		});
	}

	/**
	 * Returns the active version for a peer.
	 * @return the version, or an error if this host has none
	 */
	PeerMessage answerFetch() {
		return this.versions.activeContent()
			.map((content) -> (PeerMessage) new PeerMessage.PublishedVersion(this.versions.activeNumber(), content))
			.orElse(new PeerMessage.ErrorAnswer("no-version", "This host has not read a version yet"));
	}

}
