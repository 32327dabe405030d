package org.masticwick.fleet.process;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.pool.RegistrationScope;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Passes the jobs that other entry hosts send to this host on to its owner, and delivers
 * their answers. Must be called on the event loop.
 */
final class PeerJobs {

	/** The code of the error that a host answers with that owns nothing. */
	static final String NOT_THE_OWNER = "not-the-owner";

	private static final PeerMessage JOB_MOVED_ANSWER = new PeerMessage.ErrorAnswer("moved",
			"Another host owns the pool now and will answer this job");

	/**
	 * How long after the loss of its pools a host answers the pending calls on them;
	 * until then, the callers' hosts learn which host answers their jobs.
	 */
	private static final long JOB_MOVED_DELAY_MILLIS = 1_000;

	/** The delay after which an answer that did not arrive is sent once more. */
	private static final long ANSWER_RETRY_MILLIS = 50;

	private final EventLoop eventLoop;

	private final PoolDirectory directory;

	private final PeerTable peers;

	private final PeerReporter reporter;

	private final Supplier<PeerTransport> transport;

	private final Map<JobOrigin, CompletableFuture<PeerMessage>> pendingCalls = new ConcurrentHashMap<>();

	/**
	 * Creates an instance without pending calls.
	 * @param eventLoop the event loop that runs delayed answers
	 * @param directory the owners of the pools
	 * @param peers the peers
	 * @param reporter is told which peers this host works for
	 * @param transport returns the transport to the peers once the host is started
	 */
	PeerJobs(EventLoop eventLoop, PoolDirectory directory, PeerTable peers, PeerReporter reporter,
			Supplier<PeerTransport> transport) {
		this.eventLoop = eventLoop;
		this.directory = directory;
		this.peers = peers;
		this.reporter = reporter;
		this.transport = transport;
	}

	/**
	 * Submits a job of a peer to the owner of its pool.
	 * @param from the address of the peer
	 * @param submission the job
	 * @return completes with the answer to the job, or at once if the job isn't accepted
	 */
	CompletionStage<PeerMessage> submit(HostAddress from, PeerMessage.SubmitJob submission) {
		Optional<PoolOwner> owner = this.directory.localOwnerOf(submission.pool())
			.filter((localOwner) -> !localOwner.isFrozen());
		if (owner.isEmpty()) {
			return notAccepted(NOT_THE_OWNER);
		}
		if (owner.get().mayHaveBeenPaused(Clock.nowMillis())) {
			return notAccepted("submission-outdated");
		}
		this.peers.recordCall(from, Clock.nowMillis());
		this.reporter.recordSharedWork(from, Clock.nowMillis());
		JobOrigin origin = new JobOrigin(from.toString(), submission.callNumber());
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		this.pendingCalls.put(origin, answer);
		owner.get().submit(submission.pool(), submission.job(), submission.terms(), origin, submission.refusedBy());
		return answer;
	}

	private static CompletionStage<PeerMessage> notAccepted(String reason) {
		return CompletableFuture
			.completedFuture(new PeerMessage.JobAnswer(JobOutcome.of(JobOutcome.Kind.NOT_OWNER, reason)));
	}

	/**
	 * Answers the registration of a job that a peer is about to run as the owner of its
	 * pools.
	 * @param from the address of the peer
	 * @param registration the job
	 * @return the answer, or an error if this host owns no pools
	 */
	PeerMessage register(HostAddress from, JobRegistration registration) {
		Optional<PoolOwner> owner = this.directory.localOwner();
		if (owner.isEmpty()) {
			return new PeerMessage.ErrorAnswer(NOT_THE_OWNER, "This host owns no pools");
		}
		return owner.get().isFrozen() ? new PeerMessage.JobRegistered(registration.pool(), RegistrationScope.UNDECIDED)
				: owner.get().register(from, registration);
	}

	/**
	 * Cancels a job of a peer. Only an owner that had the job confirms its end; one that
	 * hands it over, or has not received it yet, learns of the cancellation from the next
	 * report.
	 * @param from the address of the peer
	 * @param cancel the job
	 * @return an acknowledgement if the job was cancelled, otherwise an error
	 */
	PeerMessage cancel(HostAddress from, PeerMessage.CancelJob cancel) {
		JobOrigin origin = new JobOrigin(from.toString(), cancel.callNumber());
		boolean cancelled = this.directory.localOwner()
			.filter((owner) -> !owner.isFrozen() && owner.cancel(cancel.jobId(), origin))
			.isPresent();
		return cancelled ? new PeerMessage.Acknowledged()
				: new PeerMessage.ErrorAnswer("unknown-job", "This host does not run the job, or is handing it over");
	}

	/**
	 * Tells the peer that waits for a job which pool an earlier copy of it went to.
	 * @param origin the peer and its call
	 * @param pool the name of the pool
	 */
	void placed(JobOrigin origin, String pool) {
		CompletableFuture<PeerMessage> answer = this.pendingCalls.remove(origin);
		if (answer != null) {
			answer.complete(new PeerMessage.JobPlaced(pool));
		}
		else {
			answer(origin, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "placed-elsewhere"));
		}
	}

	/**
	 * Delivers the answer to a job to the peer that waits for it. An owner that took the
	 * job over has no call of that peer to answer, and calls it instead.
	 * @param origin the peer and its call
	 * @param outcome the answer
	 */
	void answer(JobOrigin origin, JobOutcome outcome) {
		CompletableFuture<PeerMessage> answer = this.pendingCalls.remove(origin);
		if (answer != null) {
			answer.complete(new PeerMessage.JobAnswer(outcome));
			return;
		}
		HostAddress entryHost = HostAddress.parse(origin.host());
		PeerMessage finished = new PeerMessage.JobFinished(origin.callNumber(), outcome);
		this.transport.get().call(entryHost, finished).whenComplete((message, error) -> {
			if (error != null) {
				this.eventLoop.schedule(() -> this.transport.get().call(entryHost, finished), ANSWER_RETRY_MILLIS,
						TimeUnit.MILLISECONDS);
			}
		});
	}

	/**
	 * Records the termination of a run on an endpoint of another owner.
	 * @param message the termination
	 * @return completes when the owner of the job has recorded it, or at once with an
	 * error if this host owns no pools
	 */
	CompletionStage<PeerMessage> recordOrphanedTermination(PeerMessage.StrayEnd message) {
		return this.directory.localOwner()
			.filter((owner) -> !owner.isFrozen())
			.map((owner) -> owner.recordOrphanedTermination(message))
			.orElse(CompletableFuture
				.completedFuture(new PeerMessage.ErrorAnswer(NOT_THE_OWNER, "This host owns no pools")));
	}

	/**
	 * Answers the pending calls after a delay, as another host owns all pools now.
	 */
	void poolsLost() {
		List<CompletableFuture<PeerMessage>> movedCalls = List.copyOf(this.pendingCalls.values());
		this.pendingCalls.clear();
		this.eventLoop.schedule(() -> movedCalls.forEach((call) -> call.complete(JOB_MOVED_ANSWER)),
				JOB_MOVED_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

}
