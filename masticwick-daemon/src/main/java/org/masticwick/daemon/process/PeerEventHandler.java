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
 * Reports the load and the loss of peers to the scheduler, and fetches log records from
 * peers that have read more of the log than this host.
 */
final class PeerEventHandler implements PeerListener {

	private static final Logger logger = LoggerFactory.getLogger(PeerEventHandler.class);

	private static final int MAX_FETCHED_RECORD_COUNT = 256;

	private final Scheduler scheduler;

	private final RecordRelay recordRelay;

	private final PeerTransport transport;

	private final RecoveredAnswers lateVerdicts;

	private final TimeSource time;

	private final Executor workers;

	private final Set<HostAddress> peersBeingFetched = ConcurrentHashMap.newKeySet();

	PeerEventHandler(Scheduler scheduler, RecordRelay recordRelay, PeerTransport transport,
			RecoveredAnswers lateVerdicts, TimeSource time, Executor workers) {
		this.scheduler = scheduler;
		this.recordRelay = recordRelay;
		this.transport = transport;
		this.lateVerdicts = lateVerdicts;
		this.time = time;
		this.workers = workers;
	}

	@Override
	public void peerReported(PeerView peer) {
		this.scheduler.recordPeerLoad(peer.host(), peer.status().load(), this.time.nanoTime());
		this.lateVerdicts.deliverTo(peer.host());
	}

	@Override
	public void peerLost(PeerView peer) {
		logger.atInfo()
			.addKeyValue("peer", peer.host().peerAddress())
			.addKeyValue("domain", peer.host().domain())
			.addKeyValue("incarnation", peer.host().incarnation())
			.addKeyValue("age_ms", peer.ageMillis())
			.log("Peer lost; its load is no longer counted");
		this.scheduler.removePeer(peer.host());
	}

	@Override
	public void peerReplaced(EntryHost replaced, PeerView replacement) {
		logger.atInfo()
			.addKeyValue("peer", replaced.peerAddress())
			.addKeyValue("domain", replaced.domain())
			.addKeyValue("incarnation", replaced.incarnation())
			.addKeyValue("successor", replacement.host().incarnation())
			.log("Peer restarted as a new incarnation; load of the previous one is no longer counted");
		this.scheduler.removePeer(replaced);
	}

	@Override
	public void peerAhead(PeerView peer) {
		HostAddress address = peer.host().peerAddress();
		if (this.recordRelay.shouldFetchFrom(logPositionOf(peer)) && this.peersBeingFetched.add(address)) {
			fetchRecords(address, this.recordRelay.fetchOffset(), peer.status().versionNumber());
		}
	}

	private static HistoryPosition logPositionOf(PeerView peer) {
		String hash = peer.status().logHash();
		return new HistoryPosition(peer.status().versionNumber(), peer.status().logOffset(),
				(hash != null) ? hash : "");
	}

	private void fetchRecords(HostAddress address, long fromOffset, long version) {
		this.transport.call(address, new FetchRecords(fromOffset, version, MAX_FETCHED_RECORD_COUNT))
			.thenAcceptAsync((answer) -> applyRecords(address, answer, version), this.workers)
			.whenComplete((ignored, ex) -> this.peersBeingFetched.remove(address));
	}

	private void applyRecords(HostAddress address, PeerMessage answer, long version) {
		if (answer instanceof Records records && this.recordRelay
			.apply(PeerMessageDispatcher.fromMessage(records)) == RecordRelay.ApplyResult.STATE_NEEDED) {
			fetchRecords(address, RecordRelay.STATE_REQUESTED, version);
		}
	}

}
