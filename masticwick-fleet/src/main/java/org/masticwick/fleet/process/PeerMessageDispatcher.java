package org.masticwick.fleet.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;

/**
 * Passes each message of a peer to the part of the host that handles it.
 */
final class PeerMessageDispatcher {

	private final PeerTable peers;

	private final HostReports hostReports;

	private final VersionExchange versionExchange;

	private final PeerJobs peerJobs;

	private final JobQueries jobQueries;

	private final PoolHandover handover;

	private final JobRouter router;

	private final LossExchange lossExchange;

	private final Consumer<HostAddress> lostPeers;

	/**
	 * Creates an instance.
	 * @param peers gets the incarnations of peers that connect
	 * @param hostReports handles periodic reports
	 * @param versionExchange answers with published versions
	 * @param peerJobs handles jobs of callers of other hosts
	 * @param jobQueries answers queries about durable jobs
	 * @param handover handles offers of pools
	 * @param router gets what becomes of the jobs of this host's callers
	 * @param lossExchange gets lost tasks
	 * @param lostPeers gets the addresses of peers that were restarted
	 */
	PeerMessageDispatcher(PeerTable peers, HostReports hostReports, VersionExchange versionExchange, PeerJobs peerJobs,
			JobQueries jobQueries, PoolHandover handover, JobRouter router, LossExchange lossExchange,
			Consumer<HostAddress> lostPeers) {
		this.peers = peers;
		this.hostReports = hostReports;
		this.versionExchange = versionExchange;
		this.peerJobs = peerJobs;
		this.jobQueries = jobQueries;
		this.handover = handover;
		this.router = router;
		this.lossExchange = lossExchange;
		this.lostPeers = lostPeers;
	}

	/**
	 * Handles a message.
	 * @param message the message
	 * @param from the address of the peer
	 * @return the answer; completes with {@code null} if the message has none
	 */
	CompletionStage<PeerMessage> handle(PeerMessage message, HostAddress from) {
		if (message instanceof PeerMessage.HostReport report) {
			this.hostReports.apply(from, report, Clock.nowMillis());
		}
		else if (message instanceof PeerMessage.Hello hello) {
			if (this.peers.recordIncarnation(from, hello.sender().incarnation())) {
				this.lostPeers.accept(from);
			}
		}
		else if (message instanceof PeerMessage.SubmitJob submission) {
			return this.peerJobs.submit(from, submission);
		}
		else if (message instanceof PeerMessage.CancelJob cancel) {
			return CompletableFuture.completedFuture(this.peerJobs.cancel(from, cancel));
		}
		else if (message instanceof PeerMessage.RegisterJob question) {
			return CompletableFuture.completedFuture(this.peerJobs.register(from, question.registration()));
		}
		else if (message instanceof PeerMessage.JobQuery query) {
			return this.jobQueries.answerPeer(query);
		}
		else if (message instanceof PeerMessage.StrayEnd orphanedTermination) {
			return this.peerJobs.recordOrphanedTermination(orphanedTermination);
		}
		else if (message instanceof PeerMessage.FetchVersion) {
			return CompletableFuture.completedFuture(this.versionExchange.answerFetch());
		}
		else if (message instanceof PeerMessage.HandOverPools pools) {
			return this.handover.accept(pools, from);
		}
		else if (message instanceof PeerMessage.ConfirmHandOver question) {
			return CompletableFuture.completedFuture(this.handover.confirm(question, from));
		}
		else if (message instanceof PeerMessage.JobsMoved moved) {
			this.router.jobsMoved(moved.callNumbers(), from);
		}
		else if (message instanceof PeerMessage.TaskLosses losses) {
			this.lossExchange.apply(losses, Clock.nowMillis());
		}
		else if (message instanceof PeerMessage.JobFinished finished) {
			this.router.jobAnswered(finished.callNumber(), finished.outcome());
			return CompletableFuture.completedFuture(new PeerMessage.Acknowledged());
		}
		return CompletableFuture.completedFuture(null);
	}

}
