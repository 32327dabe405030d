package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.AssignedPool;
import org.masticwick.core.pool.DurableJobs;
import org.masticwick.wire.PeerMessage;

/**
 * Answers queries about the durable jobs of an owner's pools, and cancels jobs.
 * <p>
 * That there is no such job is answered only if it is settled: all jobs of the pool have
 * been read, none of this id waits to be stored, and the log has confirmed after the
 * query that no other host has taken the pool. A cancellation of an unknown job is stored
 * before it is answered, so that a submission that is still on its way is refused. Any
 * other query gets an incomplete answer, after which the caller comes back. Must be
 * called on the event loop.
 */
final class DurableJobQueries {

	private static final Logger logger = LoggerFactory.getLogger(DurableJobManager.class);

	private static final PeerMessage.JobQueryAnswer INCOMPLETE_ANSWER = new PeerMessage.JobQueryAnswer(false, List.of(),
			0);

	private final List<String> domains;

	private final DurableJobs jobs;

	private final Function<String, Optional<JobJournal>> readJournals;

	/** Answers that wait for the log, by pool. */
	private final Map<String, Set<CompletableFuture<PeerMessage>>> pendingAnswers = new HashMap<>();

	/** What to do once the cancellation of a job is stored, by the id of the job. */
	private final Map<String, List<Runnable>> pendingCancellations = new HashMap<>();

	/**
	 * Creates an instance.
	 * @param domains the failure domains of the site, which pools are named after
	 * @param jobs the jobs of the owner
	 * @param readJournals finds the journal of a pool by its name; empty if the owner
	 * does not own the pool or has not read all its jobs
	 */
	DurableJobQueries(List<String> domains, DurableJobs jobs, Function<String, Optional<JobJournal>> readJournals) {
		this.domains = domains;
		this.jobs = jobs;
		this.readJournals = readJournals;
	}

	/**
	 * Answers a query, or cancels a job.
	 * @param query the query
	 * @return the answer; that of a cancellation completes when it is stored, that of a
	 * query for an unknown job when the log has confirmed that there is none
	 */
	CompletableFuture<PeerMessage> answer(PeerMessage.JobQuery query) {
		return switch (query.kind()) {
			case STATUS -> status(query);
			case WAITING -> CompletableFuture.completedFuture(new PeerMessage.JobQueryAnswer(hasReadAllJobs(query),
					List.of(), this.jobs.pendingJobCount(query.jobIdOrQueue())));
			case CANCEL -> cancel(query);
		};
	}

	// The sender of the query may not know yet that a pool has another owner now.
	private boolean hasReadAllJobs(PeerMessage.JobQuery query) {
		return query.pools().stream().map(this.readJournals).allMatch(Optional::isPresent);
	}

	private PeerMessage.JobQueryAnswer knownStatus(PeerMessage.JobQuery query) {
		String jobId = query.jobIdOrQueue();
		return new PeerMessage.JobQueryAnswer(hasReadAllJobs(query) && !this.jobs.isUnsettled(jobId),
				this.jobs.status(jobId).stream().toList(), 0);
	}

	private CompletableFuture<PeerMessage> status(PeerMessage.JobQuery query) {
		PeerMessage.JobQueryAnswer known = knownStatus(query);
		if (!known.status().isEmpty() || !known.complete()) {
			return CompletableFuture.completedFuture(known);
		}
		String pool = AssignedPool.of(query.jobIdOrQueue(), this.domains);
		return this.readJournals.apply(pool).filter(JobJournal::isWritable).map((journal) -> {
			CompletableFuture<PeerMessage> answer = pendingAnswer(pool);
			journal.confirmOwnership(() -> answer.complete(knownStatus(query)));
			return answer;
		}).orElse(CompletableFuture.completedFuture(INCOMPLETE_ANSWER));
	}

	private CompletableFuture<PeerMessage> cancel(PeerMessage.JobQuery query) {
		String pool = AssignedPool.of(query.jobIdOrQueue(), this.domains);
		return this.readJournals.apply(pool)
			.map((journal) -> cancel(query, pool, journal))
			.orElse(CompletableFuture.completedFuture(INCOMPLETE_ANSWER));
	}

	private CompletableFuture<PeerMessage> cancel(PeerMessage.JobQuery query, String pool, JobJournal journal) {
		String jobId = query.jobIdOrQueue();
		boolean accepted = this.jobs.status(jobId).isPresent();
		CompletableFuture<PeerMessage> answer = pendingAnswer(pool);
		this.pendingCancellations.computeIfAbsent(jobId, (id) -> new ArrayList<>())
			.add(() -> answer.complete(knownStatus(query)));
		boolean known = this.jobs.cancel(jobId, DurableJobManager.now());
		logger.atInfo()
			.addKeyValue("job", jobId)
			.addKeyValue("known", known)
			.addKeyValue("accepted", accepted)
			.log("Cancellation of a durable job requested; a job that is not accepted yet never runs");
		boolean remembered = known || this.jobs.cancelUnknown(pool, jobId, DurableJobManager.now());
		if (!remembered || !accepted && !journal.isWritable()) {
			answer.complete(INCOMPLETE_ANSWER);
		}
		return answer;
	}

	private CompletableFuture<PeerMessage> pendingAnswer(String pool) {
		Set<CompletableFuture<PeerMessage>> pending = this.pendingAnswers.computeIfAbsent(pool,
				(name) -> new HashSet<>());
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		pending.add(answer);
		answer.whenComplete((message, error) -> pending.remove(answer));
		return answer;
	}

	/**
	 * Answers those who wait for the cancellation of a job.
	 * @param jobId the id of a job whose cancellation is stored, or that has finished
	 */
	void cancellationStored(String jobId) {
		List<Runnable> callbacks = this.pendingCancellations.remove(jobId);
		if (callbacks != null) {
			callbacks.forEach(Runnable::run);
		}
	}

	/**
	 * Answers all queries about the jobs of a pool that has another owner as incomplete.
	 * @param pool the name of the pool
	 */
	void poolRemoved(String pool) {
		this.pendingCancellations.keySet().removeIf((jobId) -> AssignedPool.of(jobId, this.domains).equals(pool));
		Set<CompletableFuture<PeerMessage>> pending = this.pendingAnswers.remove(pool);
		if (pending != null) {
			List.copyOf(pending).forEach((answer) -> answer.complete(INCOMPLETE_ANSWER));
		}
	}

}
