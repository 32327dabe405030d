package org.masticwick.daemon.process;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.connection.PeerView;
import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.version.HistoryPosition;
import org.masticwick.daemon.connection.PeerListener;
import org.masticwick.daemon.request.RecoveredAnswers;
import org.masticwick.daemon.version.RecordRelay;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.FetchRecords;
import org.masticwick.wire.PeerMessage.Records;
import org.masticwick.wire.PeerTransport;

/**
 * Passes what is heard of peers to the scheduler, and fetches records from peers that are
 * ahead.
 */
final class PeerEvents implements PeerListener {

	private static final Logger logger = LoggerFactory.getLogger(PeerEvents.class);

	private static final int FETCH_LIMIT = 256;

	private final Scheduler scheduler;

	private final RecordRelay relay;

	private final PeerTransport transport;

	private final RecoveredAnswers verdicts;

	private final TimeSource time;

	private final Executor workers;

	private final Set<HostAddress> fetching = ConcurrentHashMap.newKeySet();

	PeerEvents(Scheduler scheduler, RecordRelay relay, PeerTransport transport, RecoveredAnswers verdicts,
			TimeSource time, Executor workers) {
		this.scheduler = scheduler;
		this.relay = relay;
		this.transport = transport;
		this.verdicts = verdicts;
		this.time = time;
		this.workers = workers;
	}

	@Override
	public void peerReported(PeerView peer) {
		this.scheduler.recordPeerLoad(peer.host(), peer.status().load(), this.time.nanoTime());
		this.verdicts.deliverTo(peer.host());
	}

	@Override
	public void peerLost(PeerView peer) {
		logger.atInfo()
			.addKeyValue("peer", peer.host().peerAddress())
			.addKeyValue("domain", peer.host().domain())
			.addKeyValue("incarnation", peer.host().incarnation())
			.addKeyValue("age_ms", peer.ageMillis())
			.log("Peer lost");
		this.scheduler.removePeer(peer.host());
	}

	@Override
	public void peerReplaced(EntryHost ended, PeerView successor) {
		logger.atInfo()
			.addKeyValue("peer", ended.peerAddress())
			.addKeyValue("domain", ended.domain())
			.addKeyValue("incarnation", ended.incarnation())
			.addKeyValue("successor", successor.host().incarnation())
			.log("Peer replaced");
		this.scheduler.removePeer(ended);
	}

	@Override
	public void peerAhead(PeerView peer) {
		HostAddress address = peer.host().peerAddress();
		if (this.relay.shouldFetchFrom(positionOf(peer)) && this.fetching.add(address)) {
			fetch(address, this.relay.fetchOffset(), peer.status().versionNumber());
		}
	}

	private static HistoryPosition positionOf(PeerView peer) {
		String hash = peer.status().logHash();
		return new HistoryPosition(peer.status().versionNumber(), peer.status().logOffset(),
				(hash != null) ? hash : "");
	}

	private void fetch(HostAddress address, long fromOffset, long version) {
		this.transport.call(address, new FetchRecords(fromOffset, version, FETCH_LIMIT))
			.thenAcceptAsync((answer) -> apply(address, answer, version), this.workers)
			.whenComplete((done, ex) -> this.fetching.remove(address));
	}

	private void apply(HostAddress address, PeerMessage answer, long version) {
		if (answer instanceof Records records
				&& this.relay.apply(PeerMessages.fromMessage(records)) == RecordRelay.ApplyResult.STATE_NEEDED) {
			fetch(address, RecordRelay.STATE_REQUESTED, version);
		}
	}

}
