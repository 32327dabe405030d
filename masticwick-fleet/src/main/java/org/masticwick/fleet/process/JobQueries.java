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
 * Answers callers' queries about durable jobs and cancels them, through the owners of the
 * pools that the jobs are assigned to. A job counts as unknown only if the owner of its
 * pool has shown that there is none, see {@link DurableJobQueries}.
 */
final class JobQueries {

	private static final Logger logger = LoggerFactory.getLogger(JobQueries.class);

	private static final int OK = 200;

	private static final int GONE = 410;

	private static final int UNAVAILABLE = 503;

	/**
	 * The timeout of a query to an owner; longer than the time until a lost owner is
	 * noticed.
	 */
	private static final long TIMEOUT_MILLIS = 1_500;

	/** The advised retry delay while an owner is unreachable or has not read its jobs. */
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
	 * Answers the query of a peer.
	 * @param query the query
	 * @return the answer for the pools that this host owns; an incomplete one if it owns
	 * none or is handing them over
	 */
	CompletableFuture<PeerMessage> answerPeer(PeerMessage.JobQuery query) {
		return this.directory.localOwner()
			.filter((owner) -> !owner.isFrozen())
			.map((owner) -> owner.query(query))
			.orElse(CompletableFuture.completedFuture(INCOMPLETE_ANSWER));
	}

	/**
	 * Answers a caller's query for the status of a job.
	 * @param jobId the id of the job
	 * @param exchange the exchange to reply to
	 */
	void status(String jobId, CallerExchange exchange) {
		queryOwners(PeerMessage.JobQueryKind.STATUS, jobId, List.of(AssignedPool.of(jobId, this.domains)))
			.thenAccept((answers) -> reply(jobId, answers, exchange));
	}

	/**
	 * Cancels a job for a caller, and answers with its status.
	 * @param jobId the id of the job
	 * @param exchange the exchange to reply to
	 */
	void cancel(String jobId, CallerExchange exchange) {
		queryOwners(PeerMessage.JobQueryKind.CANCEL, jobId, List.of(AssignedPool.of(jobId, this.domains)))
			.thenAccept((answers) -> reply(jobId, answers, exchange));
	}

	private void reply(String jobId, List<PeerMessage.JobQueryAnswer> answers, CallerExchange exchange) {
		Optional<JobStatus> found = answers.stream().flatMap((answer) -> answer.status().stream()).findFirst();
		CallerReply reply = found.map((status) -> new CallerReply(OK, this.format.writeJobStatus(status), 0))
			.orElseGet(() -> isComplete(answers) ? CallerReply.of(GONE)
					: CallerReply.retryLater(UNAVAILABLE, RETRY_MILLIS));
		logger.atInfo()
			.addKeyValue("job", jobId)
			.addKeyValue("status", reply.status())
			.addKeyValue("found", found.map(JobStatus::name).orElse("no"))
			.addKeyValue("owners_asked", answers.size())
			.log("Query or cancellation of a durable job answered");
		exchange.reply(reply);
	}

	/**
	 * Answers a caller's query for the number of waiting jobs of a queue.
	 * @param queue the name of the queue
	 * @param exchange the exchange to reply to
	 */
	void waitingCount(String queue, CallerExchange exchange) {
		queryOwners(PeerMessage.JobQueryKind.WAITING, queue, this.domains).thenAccept((answers) -> {
			int count = answers.stream().mapToInt(PeerMessage.JobQueryAnswer::waitingJobCount).sum();
			exchange.reply(isComplete(answers) ? new CallerReply(OK, this.format.writeWaitingJobCount(count), 0)
					: CallerReply.retryLater(UNAVAILABLE, RETRY_MILLIS));
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
