package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.AssignedPool;
import org.masticwick.core.pool.DurableJob;
import org.masticwick.core.pool.DurableJobActions;
import org.masticwick.core.pool.DurableJobs;
import org.masticwick.core.pool.DurableProgress;
import org.masticwick.core.pool.DurableState;
import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.PoolScheduler;
import org.masticwick.core.pool.RecoveryStatus;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.fleet.connection.JobLog;
import org.masticwick.fleet.connection.KeyedRecord;
import org.masticwick.fleet.version.SkippedRecords;
import org.masticwick.wire.DurableJobCodec;
import org.masticwick.wire.PeerMessage;

/**
 * Runs the durable jobs of an owner's pools and stores them in the log, in one partition
 * for each pool. Each job is assigned to one pool. The owner of that pool runs it, on any
 * endpoint that it owns. Must be called on the event loop.
 */
final class DurableJobManager implements DurableJobActions, JobJournal.Listener, RecoveryStatus {

	private static final Logger logger = LoggerFactory.getLogger(DurableJobManager.class);

	private static final byte[] DELETED_VALUE = {};

	/** After how long a caller may resubmit a job that can't be stored in the log. */
	private static final long UNWRITABLE_RETRY_MILLIS = 1_000;

	/**
	 * How long after the claim of a pool runs of unknown jobs are kept while the log
	 * can't be read. Then they are stopped, so that their endpoints can be used again.
	 */
	private static final long UNREAD_LIMIT_MILLIS = 1_000;

	/**
	 * After how long no run of a previous owner can still be running: the time in which
	 * that owner notices its loss of the pool, plus the longest lease.
	 */
	private static final long SETTLE_MILLIS = 2_000;

	/**
	 * After how long without an answer of any of its endpoints a pool counts as
	 * unreachable, and another host may own it.
	 */
	private static final long UNREACHABLE_MILLIS = 500;

	/**
	 * The interval at which the log confirms the ownership of a pool without endpoints.
	 */
	private static final long OWNERSHIP_CHECK_MILLIS = 200;

	private static final PeerMessage NOT_READ_ANSWER = new PeerMessage.ErrorAnswer("not-read",
			"This host does not own the job's pool, or has not read its jobs yet");

	private final EventLoop eventLoop;

	private final JobLog log;

	private final List<String> domains;

	private final DurableJobs jobs;

	private final Listener listener;

	private final Map<String, PoolState> pools = new HashMap<>();

	private final DurableJobQueries queries;

	private boolean closed;

	DurableJobManager(EventLoop eventLoop, JobLog log, List<String> domains, PoolScheduler scheduler,
			Listener listener) {
		this.eventLoop = eventLoop;
		this.log = log;
		this.domains = domains;
		this.listener = listener;
		this.jobs = new DurableJobs(scheduler, this);
		this.queries = new DurableJobQueries(domains, this.jobs, this::readJournal);
	}

	static DurableJobs.Timestamp now() {
		return new DurableJobs.Timestamp(Clock.nowMillis(), Clock.epochMillis());
	}

	DurableJobs jobs() {
		return this.jobs;
	}

	/**
	 * Starts to read the jobs of a pool and to write them. Does nothing if the log has no
	 * partition for the pool.
	 * @param claim this host's claim of the pool
	 */
	void addPool(PoolClaim claim) {
		int partition = this.domains.indexOf(claim.pool());
		if (partition < 0 || partition >= this.log.partitionCount()) {
			return;
		}
		removePool(claim.pool());
		JobJournal journal = new JobJournal(this.eventLoop, this.log, claim.pool(), partition, claim.fencingToken(),
				this.listener::storeDurableJobsMarker, this);
		this.pools.put(claim.pool(), new PoolState(journal, Clock.nowMillis()));
		journal.open();
	}

	void removePool(String pool) {
		PoolState poolState = this.pools.remove(pool);
		if (poolState != null) {
			poolState.journal.close();
			this.jobs.removePool(pool, now());
			this.queries.poolRemoved(pool);
			poolState.terminationAnswers.values().forEach((answer) -> answer.complete(NOT_READ_ANSWER));
		}
	}

	void close() {
		this.closed = true;
		this.pools.values().forEach((pool) -> pool.journal.close());
	}

	@Override
	public boolean mayBeUnread(String jobId) {
		PoolState assignedPool = this.pools.get(AssignedPool.of(jobId, this.domains));
		boolean read = assignedPool != null && assignedPool.journal.isLoaded();
		// If all jobs of its pool were read here, a later owner, of which this host has
		// not heard yet, may have accepted it.
		return read ? this.listener.hasDurableJobs() : this.listener.mayHaveUnknownJobs();
	}

	@Override
	public boolean isInProgress(String jobId) {
		PoolState assignedPool = this.pools.get(AssignedPool.of(jobId, this.domains));
		return assignedPool != null && !assignedPool.journal.isLoaded()
				&& Clock.nowMillis() - assignedPool.claimedMillis < UNREAD_LIMIT_MILLIS
				&& this.listener.mayHaveUnknownJobs();
	}

	/**
	 * Returns since when writes to the log have been failing for any pool.
	 * @return the time in milliseconds, or a negative number if none fails
	 */
	long unwritableSinceMillis() {
		return this.pools.values()
			.stream()
			.mapToLong((pool) -> pool.journal.failingSinceMillis())
			.filter((millis) -> millis >= 0)
			.min()
			.orElse(-1);
	}

	/**
	 * Accepts a job, or refuses it while the log can't store it. Until all jobs of its
	 * pool have been read, it is answered as uncertain: an earlier copy may be among
	 * them, so that a refusal could be untrue.
	 * @param pool the name of the pool that the job is assigned to
	 * @param spec the job
	 * @param terms the terms of its queue
	 * @param origin the entry host and the call that wait for the answer
	 */
	void submit(String pool, JobSpec spec, JobTerms terms, JobOrigin origin) {
		PoolState poolState = this.pools.get(pool);
		// A copy of a job that may be stored must not be told that it never runs.
		boolean jobExists = this.jobs.status(spec.jobId()).isPresent() || this.jobs.isUnsettled(spec.jobId());
		if (jobExists || poolState != null && poolState.journal.isWritable()) {
			this.jobs.submit(pool, spec, terms, origin, now());
			return;
		}
		boolean mayExistUnread = poolState != null && !poolState.journal.isLoaded();
		answer(origin, spec.jobId(), mayExistUnread ? JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "jobs-not-read-yet")
				: new JobOutcome(JobOutcome.Kind.REFUSED, UNWRITABLE_RETRY_MILLIS, "log-takes-no-jobs"));
	}

	/**
	 * Answers a query about jobs of this owner's pools, or cancels a job.
	 * @param query the query
	 * @return the answer, see {@link DurableJobQueries#answer}
	 */
	CompletableFuture<PeerMessage> query(PeerMessage.JobQuery query) {
		return this.queries.answer(query);
	}

	private Optional<JobJournal> readJournal(String pool) {
		return Optional.ofNullable(this.pools.get(pool)).map((state) -> state.journal).filter(JobJournal::isLoaded);
	}

	/**
	 * Records the termination of a run on an endpoint of another owner.
	 * @param message the termination
	 * @return an acknowledgement when the log has stored the termination, or has shown
	 * that this host still owns the pool of an unknown job; an error if the jobs of the
	 * pool are not read here, or have another owner before that
	 */
	CompletableFuture<PeerMessage> recordOrphanedTermination(PeerMessage.StrayEnd message) {
		PoolState assignedPool = this.pools
			.get(AssignedPool.of(message.termination().run().task().jobId(), this.domains));
		if (assignedPool == null || !assignedPool.journal.isLoaded()
				|| this.jobs.isUnopened(message.termination().run().task())) {
			return CompletableFuture.completedFuture(NOT_READ_ANSWER);
		}
		CompletableFuture<PeerMessage> pendingAnswer = assignedPool.terminationAnswers.get(message.reference());
		return (pendingAnswer != null) ? pendingAnswer : recordOrphanedTermination(assignedPool, message);
	}

	private CompletableFuture<PeerMessage> recordOrphanedTermination(PoolState pool, PeerMessage.StrayEnd message) {
		CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
		pool.terminationAnswers.put(message.reference(), answer);
		if (this.jobs.orphanedRunTerminated(message.reference(), message.termination(), now())) {
			logger.atInfo()
				.addKeyValue("job", message.termination().run().task().jobId())
				.addKeyValue("task", message.termination().run())
				.addKeyValue("endpoint", message.reference().endpointId())
				.addKeyValue("kind", message.termination().kind())
				.log("Termination of a run reported by another owner; it is acknowledged once stored");
		}
		else {
			// A later owner of the pool, of which this host has not heard yet, may have
			// accepted the job.
			pool.journal.confirmOwnership(() -> terminationStored(message.reference()));
		}
		return answer;
	}

	void tick() {
		DurableJobs.Timestamp timestamp = now();
		this.jobs.tick(timestamp);
		this.pools.forEach((name, pool) -> {
			if (!pool.settled && isSettled(pool, timestamp.nowMillis())) {
				pool.settled = true;
			}
			boolean reachable = lastConfirmedMillis(name, pool, timestamp.nowMillis()) >= timestamp.nowMillis()
					- UNREACHABLE_MILLIS;
			this.jobs.setSuspended(name, !pool.settled || !reachable, timestamp);
			if (!reachable) {
				this.jobs.stopOutsideDomain(name, timestamp);
			}
		});
	}

	// An answer of an endpoint of the pool shows that no other host owns the pool. A pool
	// without endpoints has only the log to show it.
	private long lastConfirmedMillis(String name, PoolState pool, long nowMillis) {
		if (this.listener.mayHaveEndpoints(name)) {
			return this.listener.lastContactMillis(name);
		}
		if (this.jobs.hasJobs() && pool.journal.isLoaded() && !pool.checkingOwnership
				&& nowMillis - pool.ownershipCheckMillis >= OWNERSHIP_CHECK_MILLIS) {
			pool.checkingOwnership = true;
			pool.ownershipCheckMillis = nowMillis;
			pool.journal.confirmOwnership(() -> {
				pool.checkingOwnership = false;
				pool.ownedMillis = nowMillis;
			});
		}
		return pool.ownedMillis;
	}

	// Endpoint reports that arrived before the jobs were read could not be assigned to
	// them, so newer reports are needed.
	private boolean isSettled(PoolState pool, long nowMillis) {
		return pool.loadedMillis >= 0 && (this.listener.allEndpointsContactedSince(pool.loadedMillis)
				|| nowMillis - pool.loadedMillis >= SETTLE_MILLIS);
	}

	@Override
	public void loaded(String pool, List<KeyedRecord> records) {
		this.pools.get(pool).loadedMillis = Clock.nowMillis();
		StoredJobs stored = StoredJobs.read(records);
		DurableJobs.Timestamp timestamp = now();
		stored.earlyCancellations()
			.forEach((jobId, cancellation) -> this.jobs.recoverEarlyCancellation(pool, jobId,
					cancellation.stateChangedEpochMillis()));
		this.jobs.recoverRunNumbers(pool, stored.runNumberRanges());
		stored.progress().forEach((jobId, storedProgress) -> {
			DurableJob job = stored.definitions().get(jobId);
			if (job != null && !storedProgress.fits(job)) {
				logger.atError()
					.addKeyValue("pool", pool)
					.addKeyValue("job", SkippedRecords.shorten(jobId))
					.log("Stored progress names tasks that its durable job does not have; the job is skipped");
			}
			else if (job != null) {
				this.jobs.recover(pool, job, storedProgress, timestamp);
			}
			else {
				this.jobs.recoverFinished(pool, jobId, storedProgress);
			}
		});
		logger.atInfo()
			.addKeyValue("pool", pool)
			.addKeyValue("active", stored.definitions().size())
			.addKeyValue("known", stored.progress().size())
			.addKeyValue("run_number_ranges", stored.runNumberRanges())
			.log("Durable jobs of a pool recovered");
	}

	@Override
	public void fenced(String pool) {
		if (!this.closed) {
			this.listener.journalFenced(pool);
		}
	}

	@Override
	public void writeDefinition(String pool, DurableJob job) {
		put(pool, StoredJobs.DEFINITION_PREFIX + job.spec().jobId(), DurableJobCodec.encode(job));
	}

	@Override
	public void writeProgress(String pool, String jobId, long revision) {
		PoolState poolState = this.pools.get(pool);
		if (poolState != null) {
			poolState.journal.put(StoredJobs.PROGRESS_PREFIX + jobId, () -> progressBytes(jobId),
					() -> this.jobs.progressStored(jobId, revision, now()));
		}
	}

	@Override
	public void reserveRunNumbers(String pool, int rangeCount) {
		PoolState poolState = this.pools.get(pool);
		if (poolState != null) {
			byte[] content = DurableJobCodec.encodeCount(rangeCount);
			poolState.journal.put(StoredJobs.RUN_NUMBERS_KEY, () -> content,
					() -> this.jobs.runNumbersStored(pool, rangeCount));
		}
	}

	@Override
	public void writeEarlyCancellation(String pool, String jobId, long cancelledEpochMillis) {
		PoolState poolState = this.pools.get(pool);
		if (poolState != null) {
			byte[] content = DurableJobCodec
				.encode(new DurableProgress(DurableState.CANCELLED, cancelledEpochMillis, List.of()));
			poolState.journal.put(StoredJobs.CANCELLATION_PREFIX + jobId, () -> content,
					() -> answerCancellation(jobId));
		}
	}

	@Override
	public void removeEarlyCancellation(String pool, String jobId) {
		put(pool, StoredJobs.CANCELLATION_PREFIX + jobId, DELETED_VALUE);
	}

	private byte[] progressBytes(String jobId) {
		return this.jobs.progress(jobId).map(DurableJobCodec::encode).orElse(DELETED_VALUE);
	}

	@Override
	public void terminationStored(TerminationId termination) {
		this.pools.values()
			.stream()
			.flatMap((pool) -> Optional.ofNullable(pool.terminationAnswers.remove(termination)).stream())
			.forEach((answer) -> answer.complete(new PeerMessage.Acknowledged()));
		this.listener.terminationStored(termination);
	}

	@Override
	public void remove(String pool, String jobId, boolean includingProgress) {
		put(pool, StoredJobs.DEFINITION_PREFIX + jobId, DELETED_VALUE);
		if (includingProgress) {
			put(pool, StoredJobs.PROGRESS_PREFIX + jobId, DELETED_VALUE);
		}
		this.jobs.status(jobId)
			.ifPresent((status) -> logger.atInfo()
				.addKeyValue("job", jobId)
				.addKeyValue("pool", pool)
				.addKeyValue("status", status)
				.log("Finished durable job deleted from the log"));
	}

	private void put(String pool, String key, byte[] content) {
		PoolState poolState = this.pools.get(pool);
		if (poolState != null) {
			poolState.journal.put(key, () -> content, () -> {
			});
		}
	}

	@Override
	public void answer(JobOrigin origin, String jobId, JobOutcome outcome) {
		logger.atInfo()
			.addKeyValue("job", jobId)
			.addKeyValue("outcome", outcome.kind())
			.addKeyValue("reason", outcome.reason())
			.addKeyValue("retry_after_ms", outcome.retryAfterMillis())
			.log("Submission of a durable job answered");
		this.eventLoop.execute(() -> this.listener.submissionAnswered(origin, jobId, outcome));
	}

	@Override
	public void answerCancellation(String jobId) {
		this.queries.cancellationStored(jobId);
	}

	/**
	 * Connects the durable jobs with the endpoints of the pools and with the callers.
	 */
	interface Listener {

		/**
		 * Reports that the log has stored a termination, so that the endpoint may discard
		 * it.
		 * @param termination the termination
		 */
		void terminationStored(TerminationId termination);

		/**
		 * Delivers the answer to the submission of a job.
		 * @param origin the entry host and the call that wait for the answer
		 * @param jobId the id of the job
		 * @param outcome the answer
		 */
		void submissionAnswered(JobOrigin origin, String jobId, JobOutcome outcome);

		/**
		 * Reports that an owner with a higher fencing token writes the jobs of a pool.
		 * @param pool the name of the pool
		 */
		void journalFenced(String pool);

		/**
		 * Returns whether durable jobs may exist that this host has not read.
		 * @return whether they may exist
		 */
		boolean mayHaveUnknownJobs();

		/**
		 * Returns whether durable jobs are known to have been submitted to the site.
		 * @return whether this host or a peer has seen any
		 */
		boolean hasDurableJobs();

		/**
		 * Stores in the log that the site has durable jobs, unless that is stored
		 * already.
		 * @return completes when it is stored; fails with
		 * {@link org.masticwick.fleet.connection.CallException}
		 */
		CompletableFuture<Void> storeDurableJobsMarker();

		/**
		 * Returns whether a pool may have endpoints.
		 * @param pool the name of the pool
		 * @return {@code false} if the endpoint list was loaded and names none, and no
		 * run may be left on one that was removed
		 */
		boolean mayHaveEndpoints(String pool);

		/**
		 * Returns whether this host owns all pools of the site, has loaded the endpoint
		 * list as their owner, and all endpoints have reported since a time, so that no
		 * unknown run can be running.
		 * @param sinceMillis the time in milliseconds
		 * @return whether all have reported
		 */
		boolean allEndpointsContactedSince(long sinceMillis);

		/**
		 * Returns when any endpoint of a pool last answered.
		 * @param pool the name of the pool
		 * @return the time in milliseconds, far in the past if none has
		 */
		long lastContactMillis(String pool);

	}

	private static final class PoolState {

		private final JobJournal journal;

		private final long claimedMillis;

		/**
		 * Pending answers to owners that forwarded a termination; completed once it is
		 * stored, or the pool has another owner.
		 */
		private final Map<TerminationId, CompletableFuture<PeerMessage>> terminationAnswers = new HashMap<>();

		private long loadedMillis = -1;

		private boolean settled;

		private boolean checkingOwnership;

		private long ownershipCheckMillis = Long.MIN_VALUE / 2;

		/** When the last check was begun that confirmed the ownership. */
		private long ownedMillis = Long.MIN_VALUE / 2;

		private PoolState(JobJournal journal, long claimedMillis) {
			this.journal = journal;
			this.claimedMillis = claimedMillis;
		}

	}

}
