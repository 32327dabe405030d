package org.masticwick.core.pool;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Tracks the runs on endpoints and determines which have certainly terminated.
 */
final class RunTracker {

	/** The minimum observed run time of a slow run, in milliseconds. */
	private static final long MIN_SLOW_MILLIS = 60;

	/** How often a task is restarted because its run was slow. */
	private static final int MAX_SLOW_RESTARTS = 1;

	/**
	 * How long an endpoint that refused a start for lack of capacity gets no tasks, in
	 * milliseconds.
	 */
	private static final long NO_CAPACITY_PAUSE_MILLIS = 20;

	/**
	 * After this time, twice the time for an answer, a start that is not confirmed is
	 * stopped, in milliseconds.
	 */
	private static final long START_CONFIRMATION_TIMEOUT_MILLIS = 250;

	/**
	 * How late an endpoint carries out a command at most, in milliseconds. By then a
	 * start that the endpoint never answered has begun, or never will.
	 */
	private static final long MAX_EXECUTION_DELAY_MILLIS = 12_000;

	/**
	 * How long a run lasts at most after the only command that renewed its lease, in
	 * milliseconds: 1,000 in the platform's contract, by a clock that is 2% slow.
	 */
	private static final long MAX_LEASE_MILLIS = 1_020;

	private final PoolSettings settings;

	private final PoolActions actions;

	private final JobCallbacks jobCallbacks;

	private final CrashLoopGuard crashLoopGuard;

	private final RunTimeTails runTimeTails = new RunTimeTails();

	RunTracker(PoolSettings settings, PoolActions actions, CrashLoopGuard crashLoopGuard, JobCallbacks jobCallbacks) {
		this.settings = settings;
		this.crashLoopGuard = crashLoopGuard;
		this.actions = actions;
		this.jobCallbacks = jobCallbacks;
	}

	/**
	 * Records the incarnation of an endpoint. Its next report tells which accepted runs
	 * are lost with the previous incarnation. A start that was not answered may still
	 * reach the new one, so it ends as any unanswered start does.
	 * @param endpoint the endpoint
	 * @param startedEpochMillis the start time of the incarnation
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void recordIncarnation(PooledEndpoint endpoint, long startedEpochMillis, long nowMillis) {
		if (startedEpochMillis <= endpoint.startedEpochMillis()) {
			return;
		}
		boolean startTimeKnown = endpoint.startedEpochMillis() > 0;
		endpoint.restarted(startedEpochMillis);
		endpoint.health().restarted();
		if (startTimeKnown) {
			this.actions.endpointRestarted(endpoint.entry(), startedEpochMillis);
			endpoint.restartNoticed(nowMillis);
			// A new incarnation does not know the stops that the previous one confirmed.
			endpoint.placements().forEach(Placement::forgetStopConfirmation);
		}
	}

	/**
	 * Terminates the accepted runs of an endpoint whose lease has expired. A start that
	 * is not confirmed may be carried out later, so it counts as ended only once the
	 * endpoint can no longer execute it.
	 * @param endpoint the endpoint
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void leaseExpired(PooledEndpoint endpoint, long nowMillis) {
		List<Placement> accepted = endpoint.placements().stream().filter(Placement::isAccepted).toList();
		lose(endpoint, accepted, LossCause.LEASE_EXPIRED, nowMillis);
	}

	/**
	 * Terminates the unconfirmed starts on an endpoint whose address another endpoint has
	 * now, which refuses commands for the previous one.
	 * @param endpoint the endpoint that had the address before
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void addressTaken(PooledEndpoint endpoint, long nowMillis) {
		lose(endpoint, unconfirmed(endpoint), LossCause.ENDPOINT_RESTARTED, nowMillis);
	}

	private static List<Placement> unconfirmed(PooledEndpoint endpoint) {
		return endpoint.placements().stream().filter((placement) -> !placement.isAccepted()).toList();
	}

	private void lose(PooledEndpoint endpoint, List<Placement> placements, LossCause cause, long nowMillis) {
		TerminationKind kind = (cause == LossCause.LEASE_EXPIRED) ? TerminationKind.LAPSED : TerminationKind.LOST;
		// An unconfirmed start that is not lost yet may have run beside the others.
		long runCount = placements.size()
				+ unconfirmed(endpoint).stream().filter((placement) -> !placements.contains(placement)).count();
		int otherRunCount = (int) runCount - 1;
		// All losses are recorded before any task is restarted, so that none is taken for
		// a task without losses.
		placements.forEach((placement) -> {
			this.actions.runLost(new LostRun(endpoint.entry(), placement.run(), cause,
					nowMillis - placement.startRequestedMillis(), otherRunCount));
			this.crashLoopGuard.runLost(placement, cause, otherRunCount, nowMillis);
		});
		placements.forEach((placement) -> terminate(placement, kind, nowMillis));
	}

	void startRefused(Placement placement, StartRefusal refusal, long nowMillis) {
		PooledEndpoint endpoint = placement.endpoint();
		switch (refusal) {
			case NO_CAPACITY -> endpoint.pauseUntil(nowMillis + NO_CAPACITY_PAUSE_MILLIS);
			case UNHEALTHY -> endpoint.health().reportedUnhealthy(nowMillis);
			case NOT_SENT, WRONG_INCARNATION, FENCED -> endpoint.recordContact(Long.MIN_VALUE / 2);
			default -> {
			}
		}
		terminate(placement, TerminationKind.LOST, nowMillis);
	}

	/**
	 * Stops a run whose start request was not answered, so that it may start at any time,
	 * and makes the endpoint refuse the request from its next command on.
	 * @param placement the placement of the run
	 * @param reason the reason, for the log
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void startUnanswered(Placement placement, String reason, long nowMillis) {
		if (placement.startSupersededMillis() < 0) {
			placement.endpoint().supersedeUnconfirmedStarts(nowMillis);
		}
		stop(placement, reason, nowMillis);
	}

	void stop(Placement placement, String reason, long nowMillis) {
		if (placement.isStopping()) {
			return;
		}
		placement.stopSent(nowMillis);
		this.actions.stop(placement.endpoint().entry(), placement.run(), reason);
	}

	void processReport(PooledEndpoint endpoint, EndpointReport report, long requestedMillis, long nowMillis) {
		recordIncarnation(endpoint, report.startedEpochMillis(), nowMillis);
		endpoint.recordClock(report.clockMillis(), nowMillis);
		long writtenMillis = endpoint.writtenMillis(report.clockMillis());
		report.terminatedRuns()
			.stream()
			.filter((terminatedRun) -> endpoint.terminations().isUnprocessed(terminatedRun.number()))
			.forEach((terminatedRun) -> processTerminated(endpoint, terminatedRun, nowMillis));
		Set<String> orphanedJobIds = new HashSet<>();
		Set<TaskRun> runningRuns = new HashSet<>();
		for (RunningTask running : report.runningTasks()) {
			runningRuns.add(running.run());
			if (!processRunning(endpoint, running, writtenMillis, nowMillis)) {
				orphanedJobIds.add(running.run().task().jobId());
			}
		}
		endpoint.recordOrphans(orphanedJobIds, nowMillis);
		if (report.listsAllTerminations()) {
			loseUnlistedRuns(endpoint, runningRuns, requestedMillis, nowMillis);
		}
	}

	private void loseUnlistedRuns(PooledEndpoint endpoint, Set<TaskRun> runningRuns, long requestedMillis,
			long nowMillis) {
		Map<Boolean, List<Placement>> lost = endpoint.placements()
			.stream()
			.filter((placement) -> !runningRuns.contains(placement.run()))
			.filter((placement) -> isCertainlyLost(placement, requestedMillis))
			.collect(Collectors.partitioningBy(endpoint::isFromPreviousIncarnation));
		lose(endpoint, lost.get(true), LossCause.ENDPOINT_RESTARTED, nowMillis);
		lost.get(false).forEach((placement) -> terminate(placement, TerminationKind.LOST, nowMillis));
	}

	private boolean processRunning(PooledEndpoint endpoint, RunningTask running, long writtenMillis, long nowMillis) {
		Optional<Placement> placement = endpoint.placement(running.run())
			.or(() -> adopt(endpoint, running.run(), nowMillis));
		placement.ifPresent((found) -> {
			found.accept(nowMillis);
			found.listedBy(endpoint.startedEpochMillis());
			boolean wasAtWork = found.isAtWork();
			found.recordProgress(running.progressPercent(), writtenMillis);
			if (found.isAtWork() && !wasAtWork) {
				endpoint.health().taskAtWork();
			}
			found.task().checkpoint(running.checkpoint());
		});
		if (placement.isEmpty() && !this.jobCallbacks.isRecoveryInProgress(running.run().task().jobId())) {
			this.actions.stop(endpoint.entry(), running.run(), "not-ordered");
		}
		return placement.isPresent();
	}

	// Adopts a run of a durable job that a previous owner started.
	private Optional<Placement> adopt(PooledEndpoint endpoint, TaskRun run, long nowMillis) {
		return this.jobCallbacks.findDurableTask(run.task())
			.filter((task) -> !task.job().isFinished() && !task.isDone())
			.filter((task) -> task.placement() == null && run.number() > task.lastTerminatedRun())
			.map((task) -> this.jobCallbacks.adopt(task, run, endpoint, nowMillis));
	}

	// A run that was accepted before the report was requested would be in one of its
	// lists. A run whose stop was confirmed early enough before the request can no longer
	// start, nor one whose start request has a lower number than the request of the
	// report.
	private boolean isCertainlyLost(Placement placement, long requestedMillis) {
		if (placement.stopConfirmedMillis() >= 0) {
			return requestedMillis > placement.stopConfirmedMillis() + this.settings.stopLatencyMillis();
		}
		if (placement.isAccepted()) {
			return placement.acceptedMillis() < requestedMillis;
		}
		return placement.startSupersededMillis() >= 0 && placement.startSupersededMillis() < requestedMillis;
	}

	private void processTerminated(PooledEndpoint endpoint, TerminatedRun terminatedRun, long nowMillis) {
		Optional<Placement> placement = endpoint.placement(terminatedRun.run());
		Optional<Placement> ownPlacement = placement.filter((found) -> !found.task().job().isReleased());
		Optional<PooledTask> durableTask = ownPlacement.map(Placement::task)
			.filter((task) -> task.job().spec().durable())
			.or(() -> this.jobCallbacks.findDurableTask(terminatedRun.run().task()));
		if (ownPlacement.isEmpty() && durableTask.isEmpty()
				&& this.jobCallbacks.mayBeUnread(terminatedRun.run().task())) {
			endpoint.terminations().recordUnresolved(terminatedRun.number());
			if (endpoint.terminations().shouldForward(terminatedRun.number(), nowMillis)) {
				this.actions.orphanedRunTerminated(terminationId(endpoint, terminatedRun), terminatedRun);
			}
			placement.ifPresent((released) -> terminate(released, terminatedRun.kind(), nowMillis));
			return;
		}
		acknowledge(endpoint, terminatedRun, durableTask.isPresent());
		boolean hasEffect = durableTask.filter((task) -> task.recordTermination(terminatedRun)).isPresent();
		if (placement.isPresent()) {
			updateHealth(placement.get(), terminatedRun.kind(), nowMillis);
			terminate(placement.get(), terminatedRun.kind(), nowMillis);
		}
		if (ownPlacement.isEmpty() && hasEffect) {
			this.jobCallbacks.remoteRunTerminated(durableTask.get(), terminatedRun, nowMillis);
		}
	}

	// What an owner holds in memory is lost with it. Each end of a durable job is
	// therefore acknowledged only after the log has stored the progress that includes it,
	// also if this owner knew of it before or has no task for it any more.
	private void acknowledge(PooledEndpoint endpoint, TerminatedRun terminatedRun, boolean hasDurableTask) {
		String jobId = terminatedRun.run().task().jobId();
		if (hasDurableTask || this.jobCallbacks.isDurableJob(jobId)) {
			endpoint.terminations().recordUnstored(terminatedRun.number());
			this.actions.durableRunTerminated(jobId, terminationId(endpoint, terminatedRun));
		}
		else {
			endpoint.terminations().recordProcessed(terminatedRun.number());
		}
	}

	private static TerminationId terminationId(PooledEndpoint endpoint, TerminatedRun terminatedRun) {
		return new TerminationId(endpoint.entry().id(), endpoint.startedEpochMillis(), terminatedRun.number());
	}

	private void updateHealth(Placement placement, TerminationKind kind, long nowMillis) {
		EndpointHealth health = placement.endpoint().health();
		double ratio = runRatio(placement, kind, nowMillis);
		if (isRestartableElsewhere(placement) && !placement.isMoved() && ratio > 0) {
			this.runTimeTails.observe(placement.task().job().terms().queue(), ratio);
		}
		if (kind == TerminationKind.DONE) {
			health.succeeded(ratio);
		}
		else if (kind == TerminationKind.FAILED && !placement.isAtWork()) {
			health.failed(placement.task().job().spec().jobId(), nowMillis);
		}
	}

	// Returns the run time over the expected one, projected for a stopped run, or 0 if it
	// is not known.
	private static double runRatio(Placement placement, TerminationKind kind, long nowMillis) {
		if (kind == TerminationKind.DONE) {
			return (nowMillis - placement.startRequestedMillis()) / placement.expectedMillis();
		}
		return (kind == TerminationKind.STOPPED && isObserved(placement)) ? slowness(placement) : 0;
	}

	private void terminate(Placement placement, TerminationKind kind, long nowMillis) {
		placement.endpoint().remove(placement);
		this.jobCallbacks.runTerminated(placement, kind, nowMillis);
	}

	void tick(Collection<PooledEndpoint> endpoints, Predicate<Placement> hasCapacityElsewhere, long nowMillis) {
		List.copyOf(endpoints)
			.stream()
			.flatMap((endpoint) -> endpoint.placements().stream())
			.forEach((placement) -> check(placement, hasCapacityElsewhere, nowMillis));
	}

	private void check(Placement placement, Predicate<Placement> hasCapacityElsewhere, long nowMillis) {
		long startedBeforeMillis = nowMillis - placement.startRequestedMillis();
		if (!placement.isAccepted() && startedBeforeMillis > MAX_EXECUTION_DELAY_MILLIS + MAX_LEASE_MILLIS) {
			lose(placement.endpoint(), List.of(placement), LossCause.LEASE_EXPIRED, nowMillis);
		}
		else if (!placement.isAccepted() && placement.startSupersededMillis() < 0
				&& startedBeforeMillis > START_CONFIRMATION_TIMEOUT_MILLIS) {
			startUnanswered(placement, "start-unconfirmed", nowMillis);
		}
		else if (placement.isStopping()) {
			retryStop(placement, nowMillis);
		}
		else if (isRestartableElsewhere(placement) && isSlow(placement)) {
			recordSlowRun(placement, nowMillis);
			if (placement.endpoint().health().isSlow() && placement.task().slowRestartCount() < MAX_SLOW_RESTARTS
					&& hasCapacityElsewhere.test(placement)) {
				placement.task().countSlowRestart();
				placement.markMoved();
				stop(placement, "slow: " + placement.progress(), nowMillis);
			}
		}
	}

	// A task that was slow on another endpoint too is no evidence against this one.
	private void recordSlowRun(Placement placement, long nowMillis) {
		double recordedShare = placement.longRunShare();
		double share = this.runTimeTails.share(placement.task().job().terms().queue(), slowness(placement));
		if (share < recordedShare && placement.task().slowRestartCount() == 0) {
			placement.longRunShare(share);
			placement.endpoint().health().slow(recordedShare == 1, share / recordedShare, nowMillis);
		}
	}

	private void retryStop(Placement placement, long nowMillis) {
		if (nowMillis - placement.stopSentMillis() >= this.settings.stopRetryMillis()) {
			placement.stopSent(nowMillis);
			this.actions.stop(placement.endpoint().entry(), placement.run(), "no-effect-yet");
		}
	}

	private static boolean isRestartableElsewhere(Placement placement) {
		StepTraits traits = placement.task().step().traits();
		return !traits.gang() && !traits.longRunning() && !traits.backfill();
	}

	private static boolean isSlow(Placement placement) {
		return isObserved(placement) && slowness(placement) > RunTimeTails.LONG_RATIO;
	}

	private static boolean isObserved(Placement placement) {
		return placement.observedMillis() > Math.max(MIN_SLOW_MILLIS, placement.expectedMillis() / 2);
	}

	private static double slowness(Placement placement) {
		return placement.projectedMillis() / placement.expectedMillis();
	}

	/**
	 * Gives the tracker access to the jobs of the tracked runs.
	 */
	interface JobCallbacks {

		/**
		 * Handles a run that has certainly terminated.
		 * @param placement the placement, already removed from its endpoint
		 * @param kind how the run terminated
		 * @param nowMillis the current monotonic time in milliseconds
		 */
		void runTerminated(Placement placement, TerminationKind kind, long nowMillis);

		/**
		 * Handles the termination of a run of a durable job that has no placement at this
		 * owner.
		 * @param task the task of the run
		 * @param terminatedRun the terminated run
		 * @param nowMillis the current monotonic time in milliseconds
		 */
		void remoteRunTerminated(PooledTask task, TerminatedRun terminatedRun, long nowMillis);

		/**
		 * Finds a task of a durable job.
		 * @param id the id of the task
		 * @return the task, or empty if the job is unknown or not durable
		 */
		Optional<PooledTask> findDurableTask(TaskId id);

		/**
		 * Returns whether a job is a durable one of this owner, which may have no task
		 * that can be found any more.
		 * @param jobId the id of the job
		 * @return whether the ends of its runs have to be stored
		 */
		boolean isDurableJob(String jobId);

		/**
		 * Returns whether an unknown task may be of a durable job that this host or
		 * another one has still to read from the shared log, or of an occurrence that is
		 * still to be opened.
		 * @param task the id of the task
		 * @return whether it may, so that endpoints have to keep its terminations
		 */
		boolean mayBeUnread(TaskId task);

		/**
		 * Returns whether the runs of an unknown job should continue, because this host
		 * will read the job soon.
		 * @param jobId the id of the job
		 * @return whether its runs should continue
		 */
		boolean isRecoveryInProgress(String jobId);

		/**
		 * Adopts a run that a previous owner started.
		 * @param task the task of the run
		 * @param run the run
		 * @param endpoint the endpoint that reports the run
		 * @param nowMillis the current monotonic time in milliseconds
		 * @return the placement
		 */
		Placement adopt(PooledTask task, TaskRun run, PooledEndpoint endpoint, long nowMillis);

	}

}
