package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.pool.JobRegistry;
import org.masticwick.core.pool.RegistrationAnswer;
import org.masticwick.core.pool.RegistrationScope;
import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerErrorCodes;
import org.masticwick.wire.PeerMessage;

/**
 * Registers the interactive jobs of an owner before they may start, so that the copies of
 * a job that reach several owners run at one of them. All copies are registered with the
 * owner of the pool that the id of the job is assigned to, the registrar of the job. If
 * it is unreachable, or may not know of all copies because it has just become the owner,
 * was paused or was out of contact, all reachable owners are asked.
 * <p>
 * Must be called on the event loop.
 */
final class JobRegistrar {

	private static final Logger logger = LoggerFactory.getLogger(JobRegistrar.class);

	/** After how long a registration is repeated that is still undecided. */
	private static final long RETRY_MILLIS = 40;

	/**
	 * How long a copy of a job waits while an earlier one may run; longer than it takes
	 * to notice the loss of an owner and for its leases to expire.
	 */
	private static final long MAX_WAIT_MILLIS = 1_500;

	/**
	 * How long a job waits while nothing tells of an earlier copy, so that the loss of
	 * one owner does not delay the jobs of all others.
	 */
	private static final long MAX_UNDECIDED_MILLIS = 150;

	private final EventLoop eventLoop;

	private final OwnedPools pools;

	private final SiteOwners owners;

	private final OwnerJobs jobs;

	private final FleetMetrics metrics;

	private final JobRegistry registry;

	private final Map<String, PendingJob> pendingJobs = new HashMap<>();

	private final SettledPools settledPools;

	/**
	 * Creates a registrar without jobs.
	 * @param eventLoop the event loop that repeats registrations
	 * @param pools the pools of this owner
	 * @param owners the other owners
	 * @param jobs the jobs of this owner
	 * @param reachablePools tells whether the owner of a pool is reachable
	 * @param metrics counts registrations
	 */
	JobRegistrar(EventLoop eventLoop, OwnedPools pools, SiteOwners owners, OwnerJobs jobs,
			Predicate<String> reachablePools, FleetMetrics metrics) {
		this.eventLoop = eventLoop;
		this.pools = pools;
		this.owners = owners;
		this.jobs = jobs;
		this.metrics = metrics;
		this.registry = new JobRegistry(reachablePools);
		this.settledPools = new SettledPools(owners);
	}

	/**
	 * Records that this owner has assumed ownership of a pool.
	 * @param pool the name of the pool
	 */
	void poolAssumed(String pool) {
		this.settledPools.poolAssumed(pool, Clock.nowMillis());
	}

	/**
	 * Records that this process was paused, so that owners may have run jobs without
	 * registering them here.
	 */
	void paused() {
		this.settledPools.paused(Clock.nowMillis());
	}

	/**
	 * Registers a copy of a job and has it run, unless an earlier copy runs elsewhere. A
	 * copy of a job that this owner runs joins it.
	 * @param submission the copy
	 */
	void submit(JobSubmission submission) {
		if (this.jobs.hasJob(submission.jobId())) {
			this.jobs.run(submission);
			return;
		}
		PendingJob pending = this.pendingJobs.get(submission.jobId());
		if (pending != null) {
			JobSubmission previous = pending.submission;
			pending.submission = submission;
			if (!previous.origin().equals(submission.origin())) {
				answer(previous, "submitted-again");
			}
			return;
		}
		PendingJob created = new PendingJob(submission);
		this.pendingJobs.put(submission.jobId(), created);
		register(created);
		if (isPending(created)) {
			created.undecidedTimer = this.eventLoop.schedule(() -> runUndecided(created), MAX_UNDECIDED_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	private void runUndecided(PendingJob pending) {
		if (!isPending(pending) || pending.copyExists) {
			return;
		}
		logger.atInfo()
			.addKeyValue("job", pending.submission.jobId())
			.addKeyValue("pool", pending.submission.pool())
			.addKeyValue("reason", pending.reason)
			.log("Registration of the job is undecided, and nothing tells of an earlier copy; the job starts");
		admit(pending, "nobody");
	}

	private void register(PendingJob pending) {
		JobSubmission submission = pending.submission;
		JobRegistration registration = submission.registration(pending.repeated, Clock.nowMillis());
		Optional<HostAddress> registrar = this.owners.reachableOwner(this.owners.registrarPool(submission.jobId()));
		if (isRegistrar(submission.jobId())) {
			RegistrationAnswer answer = record(registration);
			handleRegistrar(pending, registration, Optional.empty(),
					new PeerMessage.JobRegistered(answer.pool(), answer.scope()));
		}
		else if (registrar.isPresent()) {
			this.owners.register(registrar.get(), registration)
				.whenComplete((answer, error) -> handleRegistrar(pending, registration, registrar, answer));
		}
		else {
			askAllOwners(pending, registration, Set.of());
		}
	}

	private boolean isRegistrar(String jobId) {
		return this.pools.contains(this.owners.registrarPool(jobId));
	}

	private RegistrationAnswer record(JobRegistration registration) {
		long settledSinceMillis = this.jobs.mayHaveBeenPaused() ? Long.MAX_VALUE
				: this.settledPools.settledSinceMillis(this.owners.registrarPool(registration.jobId()));
		return this.registry.register(registration, settledSinceMillis, Clock.nowMillis());
	}

	private void handleRegistrar(PendingJob pending, JobRegistration registration, Optional<HostAddress> registrar,
			PeerMessage answer) {
		if (!isPending(pending)) {
			return;
		}
		if (isOfEarlierVersion(answer)) {
			askAllOwners(pending, registration, registrar.stream().collect(Collectors.toSet()));
		}
		else if (!(answer instanceof PeerMessage.JobRegistered registered)
				|| registered.scope() == RegistrationScope.UNDECIDED) {
			repeatLater(pending, "registrar-undecided");
		}
		else if (registered.scope() == RegistrationScope.COPY_EXISTS) {
			waitForCopy(pending);
		}
		else if (!this.pools.contains(registered.pool())) {
			move(pending, registered.pool(), "registrar");
		}
		else if (registered.scope() == RegistrationScope.SITE) {
			admit(pending, "registrar");
		}
		else {
			askAllOwners(pending, registration, registrar.stream().collect(Collectors.toSet()));
		}
	}

	private void askAllOwners(PendingJob pending, JobRegistration registration, Set<HostAddress> asked) {
		if (this.owners.mayRunAtLostOwner(registration.receivedMillis(Clock.nowMillis()))) {
			repeatLater(pending, "lost-owner-may-run-it");
			return;
		}
		List<CompletableFuture<PeerMessage>> answers = this.owners.reachableOwners()
			.stream()
			.filter((owner) -> !asked.contains(owner))
			.map((owner) -> this.owners.register(owner, registration)
				.exceptionally((error) -> null)
				.thenApply((answer) -> believed(owner, answer)))
			.toList();
		CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
			.thenRun(() -> handleOwners(pending, answers.stream().map(CompletableFuture::join).toList()));
	}

	// A host that owns nothing any more runs no jobs. One that has yet to learn that it
	// is the next owner of a pool can't tell.
	private PeerMessage believed(HostAddress owner, PeerMessage answer) {
		boolean ownsNothing = answer instanceof PeerMessage.ErrorAnswer error
				&& error.code().equals(PeerJobs.NOT_THE_OWNER);
		return (ownsNothing && this.owners.isOwner(owner)) ? null : answer;
	}

	private void handleOwners(PendingJob pending, List<PeerMessage> answers) {
		if (!isPending(pending)) {
			return;
		}
		Optional<String> otherPool = answers.stream()
			.flatMap((answer) -> (answer instanceof PeerMessage.JobRegistered registered) ? Stream.of(registered)
					: Stream.empty())
			.filter((registered) -> registered.scope().isDecided())
			.map(PeerMessage.JobRegistered::pool)
			.filter((pool) -> !this.pools.contains(pool))
			.findFirst();
		if (otherPool.isPresent()) {
			move(pending, otherPool.get(), "owners");
		}
		else if (answers.stream().anyMatch(JobRegistrar::tellsOfCopy)) {
			waitForCopy(pending);
		}
		else if (answers.stream().allMatch(JobRegistrar::isRunningNowhere)) {
			admit(pending, "owners");
		}
		else {
			repeatLater(pending, "owners-undecided");
		}
	}

	private static boolean tellsOfCopy(PeerMessage answer) {
		return answer instanceof PeerMessage.JobRegistered registered
				&& registered.scope() == RegistrationScope.COPY_EXISTS;
	}

	private static boolean isRunningNowhere(PeerMessage answer) {
		return answer instanceof PeerMessage.ErrorAnswer error && error.code().equals(PeerJobs.NOT_THE_OWNER)
				|| isOfEarlierVersion(answer)
				|| answer instanceof PeerMessage.JobRegistered registered && registered.scope().isDecided();
	}

	// Until all hosts are updated, those of earlier versions register nothing.
	private static boolean isOfEarlierVersion(PeerMessage answer) {
		return answer instanceof PeerMessage.ErrorAnswer error && error.code().equals(PeerErrorCodes.UNKNOWN_MESSAGE);
	}

	private boolean isPending(PendingJob pending) {
		return this.pendingJobs.get(pending.submission.jobId()) == pending;
	}

	private void admit(PendingJob pending, String decidedBy) {
		remove(pending);
		this.metrics.jobRegistered(decidedBy, waitedMillis(pending));
		this.jobs.run(pending.submission);
	}

	private void move(PendingJob pending, String pool, String decidedBy) {
		JobSubmission submission = pending.submission;
		remove(pending);
		this.metrics.jobRegistered("moved", waitedMillis(pending));
		logger.atInfo()
			.addKeyValue("job", submission.jobId())
			.addKeyValue("pool", submission.pool())
			.addKeyValue("runs_in", pool)
			.addKeyValue("decided_by", decidedBy)
			.addKeyValue("waited_ms", waitedMillis(pending))
			.log("Earlier copy of the job runs in another pool; this one follows it");
		this.eventLoop.execute(() -> this.jobs.placedElsewhere(submission, pool));
	}

	private void remove(PendingJob pending) {
		this.pendingJobs.remove(pending.submission.jobId());
		if (pending.undecidedTimer != null) {
			pending.undecidedTimer.cancel(false);
		}
	}

	private static long waitedMillis(PendingJob pending) {
		return Clock.nowMillis() - pending.submission.arrivedMillis();
	}

	// The time for undecided registrations does not count once an earlier copy is known.
	private void waitForCopy(PendingJob pending) {
		pending.copyExists = true;
		repeatLater(pending, "pool-of-copy-unreachable");
	}

	private void repeatLater(PendingJob pending, String reason) {
		pending.reason = reason;
		if (waitedMillis(pending) >= MAX_WAIT_MILLIS) {
			remove(pending);
			this.metrics.jobRegistered("undecided", waitedMillis(pending));
			answer(pending.submission, reason);
			return;
		}
		if (!pending.repeated) {
			logger.atInfo()
				.addKeyValue("job", pending.submission.jobId())
				.addKeyValue("pool", pending.submission.pool())
				.addKeyValue("reason", reason)
				.log("Registration of the job is undecided and will be repeated; nothing of it starts");
		}
		pending.repeated = true;
		this.eventLoop.schedule(() -> {
			if (isPending(pending)) {
				register(pending);
			}
		}, RETRY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void answer(JobSubmission submission, String reason) {
		JobOutcome outcome = JobOutcome.of(JobOutcome.Kind.UNCERTAIN, reason);
		this.eventLoop.execute(() -> this.jobs.answer(submission, outcome));
	}

	/**
	 * Answers the registration of a job that another owner is about to run.
	 * @param from the peer address of that owner
	 * @param registration the job
	 * @return the answer
	 */
	PeerMessage.JobRegistered register(HostAddress from, JobRegistration registration) {
		long nowMillis = Clock.nowMillis();
		boolean claimsOwnPool = this.pools.contains(registration.pool());
		Optional<String> ownPool = ownPoolOf(from, registration);
		if (ownPool.isPresent()) {
			return claimsOwnPool ? new PeerMessage.JobRegistered(registration.pool(), RegistrationScope.COPY_EXISTS)
					: new PeerMessage.JobRegistered(ownPool.get(), RegistrationScope.SITE);
		}
		if (this.jobs.mayRunByPreviousOwner(registration.jobId(), registration.receivedMillis(nowMillis))) {
			return undecided(registration);
		}
		if (!isRegistrar(registration.jobId())) {
			return new PeerMessage.JobRegistered(registration.pool(), RegistrationScope.OWNER);
		}
		RegistrationAnswer answer = record(registration);
		return new PeerMessage.JobRegistered(answer.pool(), answer.scope());
	}

	private static PeerMessage.JobRegistered undecided(JobRegistration registration) {
		return new PeerMessage.JobRegistered(registration.pool(), RegistrationScope.UNDECIDED);
	}

	// The pool of this owner that a job runs in, or will run in. Of two owners that
	// register copies with each other at once, one gives way.
	private Optional<String> ownPoolOf(HostAddress from, JobRegistration registration) {
		if (this.jobs.hasJob(registration.jobId())) {
			return this.pools.inNameOrder().findFirst();
		}
		PendingJob pending = this.pendingJobs.get(registration.jobId());
		if (pending == null) {
			return Optional.empty();
		}
		String ownPool = pending.submission.pool();
		if (!givesWay(from, ownPool, registration)) {
			return Optional.of(ownPool);
		}
		move(pending, registration.pool(), "gave-way");
		return Optional.empty();
	}

	private boolean givesWay(HostAddress from, String ownPool, JobRegistration registration) {
		if (isRegistrar(registration.jobId())) {
			return false;
		}
		boolean toRegistrar = this.owners.owner(this.owners.registrarPool(registration.jobId()))
			.filter(from::equals)
			.isPresent();
		return toRegistrar || registration.pool().compareTo(ownPool) < 0;
	}

	/**
	 * Drops a copy that waits for its registration and whose caller has left.
	 * @param jobId the id of the job
	 * @param isAbandoned tells whether the caller of a copy has left
	 * @return whether there was one
	 */
	boolean cancel(String jobId, Predicate<JobSubmission> isAbandoned) {
		PendingJob pending = this.pendingJobs.get(jobId);
		if (pending == null || !isAbandoned.test(pending.submission)) {
			return false;
		}
		this.pendingJobs.remove(jobId);
		return true;
	}

	/**
	 * Drops all copies that wait for their registration and whose callers have left.
	 * @param isAbandoned tells whether the caller of a copy has left
	 */
	void cancelAll(Predicate<JobSubmission> isAbandoned) {
		this.pendingJobs.values().removeIf((pending) -> isAbandoned.test(pending.submission));
	}

	/**
	 * Sends all copies that wait for their registration back to their callers' hosts, as
	 * the pools get another owner.
	 */
	void returnAll() {
		List.copyOf(this.pendingJobs.values()).forEach((pending) -> {
			JobOutcome outcome = JobOutcome.of(JobOutcome.Kind.NOT_OWNER, "owner-changes");
			this.eventLoop.execute(() -> this.jobs.answer(pending.submission, outcome));
		});
		this.pendingJobs.clear();
	}

	/**
	 * A job that waits for its registration.
	 */
	private static final class PendingJob {

		private JobSubmission submission;

		private boolean repeated;

		private boolean copyExists;

		private String reason = "no-answer";

		private ScheduledFuture<?> undecidedTimer;

		private PendingJob(JobSubmission submission) {
			this.submission = submission;
		}

	}

}
