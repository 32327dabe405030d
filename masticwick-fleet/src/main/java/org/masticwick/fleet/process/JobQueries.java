package org.masticwick.fleet.process;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.AssignedPool;
import org.masticwick.core.pool.JobStatus;
import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.request.CallerExchange;
import org.masticwick.fleet.request.CallerFormat;
import org.masticwick.fleet.request.CallerReply;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransport;

/**
 * Answers callers' questions about durable jobs: asks the owners of the pools that they
 * belong to. That a job is unknown is only said by an owner that has read all jobs of the
 * pool.
 */
final class JobQueries {

	private static final Logger logger = LoggerFactory.getLogger(JobQueries.class);

	private static final int OK = 200;

	private static final int GONE = 410;

	private static final int UNAVAILABLE = 503;

	/** How long an owner may take; longer than it takes to notice that it is lost. */
	private static final long TIMEOUT_MILLIS = 1_500;

	/** When to ask again while an owner can't be asked, in milliseconds. */
	private static final long RETRY_MILLIS = 1_000;

	private static final PeerMessage.JobQueryAnswer INCOMPLETE_ANSWER = new PeerMessage.JobQueryAnswer(false, List.of(),
			0);

	private final EventLoop eventLoop;

	private final PoolDirectory directory;

	private final HostAddress self;

	private final List<String> domains;

	private final CallerFormat format;

	private PeerTransport transport;

	JobQueries(EventLoop eventLoop, HostAddress self, PoolDirectory directory, List<String> domains,
			CallerFormat format) {
		this.self = self;
		this.eventLoop = eventLoop;
		this.directory = directory;
		this.domains = domains;
		this.format = format;
	}

	void transport(PeerTransport peerTransport) {
		this.transport = peerTransport;
	}

	/**
	 * Answers the question of a peer.
	 * @param query the question
	 * @return the answer of the pools that this host owns
	 */
	CompletableFuture<PeerMessage> answerPeer(PeerMessage.JobQuery query) {
		return this.directory.localOwner()
			.filter((owner) -> !owner.isFrozen())
			.map((owner) -> owner.query(query))
			.orElse(CompletableFuture.completedFuture(INCOMPLETE_ANSWER));
	}

	/**
	 * Tells a caller the state of a job.
	 * @param jobId the job
	 * @param exchange the answer
	 */
	void status(String jobId, CallerExchange exchange) {
		queryOwners(PeerMessage.JobQueryKind.STATUS, jobId, List.of(AssignedPool.of(jobId, this.domains)))
			.thenAccept((answers) -> reply(jobId, answers, exchange));
	}

	/**
	 * Cancels a job for a caller.
	 * @param jobId the job
	 * @param exchange the answer
	 */
	void cancel(String jobId, CallerExchange exchange) {
		queryOwners(PeerMessage.JobQueryKind.CANCEL, jobId, List.of(AssignedPool.of(jobId, this.domains)))
			.thenAccept((answers) -> reply(jobId, answers, exchange));
	}

	private void reply(String jobId, List<PeerMessage.JobQueryAnswer> answers, CallerExchange exchange) {
		Optional<JobStatus> found = answers.stream().flatMap((answer) -> answer.status().stream()).findFirst();
		CallerReply reply = found.map((status) -> new CallerReply(OK, this.format.writeStatus(status), 0))
			.orElseGet(() -> isComplete(answers) ? CallerReply.of(GONE) : CallerReply.later(UNAVAILABLE, RETRY_MILLIS));
		logger.atInfo()
			.addKeyValue("job", jobId)
			.addKeyValue("status", reply.status())
			.addKeyValue("found", found.map(JobStatus::name).orElse("no"))
			.addKeyValue("owners_asked", answers.size())
			.log("Question about a durable job answered");
		exchange.reply(reply);
	}

	/**
	 * Tells a caller how many jobs of a queue wait.
	 * @param queue the queue
	 * @param exchange the answer
	 */
	void waitingCount(String queue, CallerExchange exchange) {
		queryOwners(PeerMessage.JobQueryKind.WAITING, queue, this.domains).thenAccept((answers) -> {
			int count = answers.stream().mapToInt(PeerMessage.JobQueryAnswer::waitingJobCount).sum();
			exchange.reply(isComplete(answers) ? new CallerReply(OK, this.format.writeWaiting(count), 0)
					: CallerReply.later(UNAVAILABLE, RETRY_MILLIS));
		});
	}

	private static boolean isComplete(List<PeerMessage.JobQueryAnswer> answers) {
		return answers.stream().allMatch(PeerMessage.JobQueryAnswer::complete);
	}

	private CompletableFuture<List<PeerMessage.JobQueryAnswer>> queryOwners(PeerMessage.JobQueryKind kind,
			String jobIdOrQueue, List<String> pools) {
		Map<Optional<HostAddress>, List<String>> poolsByOwner = pools.stream()
			.collect(Collectors.groupingBy(this::reachableOwner));
		List<CompletableFuture<PeerMessage.JobQueryAnswer>> answers = poolsByOwner.entrySet()
			.stream()
			.map((entry) -> queryOwner(entry.getKey(), new PeerMessage.JobQuery(kind, jobIdOrQueue, entry.getValue())))
			.toList();
		return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
			.thenApply((nothing) -> answers.stream().map(CompletableFuture::join).toList());
	}

	private Optional<HostAddress> reachableOwner(String pool) {
		return this.directory.isOwnerReachable(pool, Clock.nowMillis()) ? this.directory.ownerAddress(pool)
				: Optional.empty();
	}

	private CompletableFuture<PeerMessage.JobQueryAnswer> queryOwner(Optional<HostAddress> owner,
			PeerMessage.JobQuery query) {
		if (owner.isEmpty()) {
			return CompletableFuture.completedFuture(INCOMPLETE_ANSWER);
		}
		CompletableFuture<PeerMessage> answer = owner.get().equals(this.self) ? answerPeer(query)
				: this.transport.call(owner.get(), query);
		this.eventLoop.schedule(() -> answer.complete(INCOMPLETE_ANSWER), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		return answer.handle((message, error) -> (message instanceof PeerMessage.JobQueryAnswer queryAnswer)
				? queryAnswer : INCOMPLETE_ANSWER);
	}

}
