package org.masticwick.core.pool;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Keeps track of the runs on endpoints and finds out which have certainly ended.
 */
final class RunTracker {

	/** From this many times the expected run time on, a run counts as slow. */
	private static final double SLOW_FACTOR = 3;

	/** The shortest time after which a run can count as slow, in milliseconds. */
	private static final long MIN_SLOW_MILLIS = 60;

	/** How often a task is started elsewhere since it was slow. */
	private static final int MAX_SLOW_RESTARTS = 1;

	/** How long an endpoint without the room it should have is left alone. */
	private static final long NO_CAPACITY_PAUSE_MILLIS = 20;

	/**
	 * After how long a start that nothing is heard of is taken back; two answers' time.
	 */
	private static final long START_CONFIRMATION_TIMEOUT_MILLIS = 250;

	private final PoolSettings settings;

	private final PoolActions actions;

	private final JobCallbacks jobCallbacks;

	RunTracker(PoolSettings settings, PoolActions actions, JobCallbacks jobCallbacks) {
		this.settings = settings;
		this.actions = actions;
		this.jobCallbacks = jobCallbacks;
	}

	void recordIncarnation(PooledEndpoint endpoint, long startedEpochMillis, long nowMillis) {
		if (startedEpochMillis <= endpoint.startedEpochMillis()) {
			return;
		}
		boolean startTimeKnown = endpoint.startedEpochMillis() > 0;
		endpoint.restarted(startedEpochMillis);
		if (startTimeKnown) {
			terminateAll(endpoint, TerminationKind.LOST, nowMillis);
		}
	}

	void terminateAll(PooledEndpoint endpoint, TerminationKind kind, long nowMillis) {
		endpoint.placements().forEach((placement) -> terminate(placement, kind, nowMillis));
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

	void stop(Placement placement, String reason, long nowMillis) {
		if (placement.isStopping()) {
			return;
		}
		placement.stopSent(nowMillis);
		this.actions.stop(placement.endpoint().entry(), placement.run(), reason);
	}

	void reported(PooledEndpoint endpoint, EndpointReport report, long askedMillis, long nowMillis) {
		recordIncarnation(endpoint, report.startedEpochMillis(), nowMillis);
		endpoint.recordClock(report.clockMillis(), nowMillis);
		long writtenMillis = endpoint.writtenMillis(report.clockMillis());
		report.terminatedRuns()
			.stream()
			.filter((terminatedRun) -> endpoint.terminations().isUnprocessed(terminatedRun.number()))
			.forEach((terminatedRun) -> processTerminated(endpoint, terminatedRun, nowMillis));
		int orphanedCount = 0;
		Set<TaskRun> runningRuns = new HashSet<>();
		for (RunningTask running : report.runningTasks()) {
			runningRuns.add(running.run());
			orphanedCount += processRunning(endpoint, running, writtenMillis, nowMillis) ? 0 : 1;
		}
		endpoint.orphanedRunCount(orphanedCount);
		endpoint.placements()
			.stream()
			.filter((placement) -> !runningRuns.contains(placement.run()))
			.filter((placement) -> isCertainlyLost(placement, askedMillis))
			.forEach((placement) -> terminate(placement, TerminationKind.LOST, nowMillis));
	}

	private boolean processRunning(PooledEndpoint endpoint, RunningTask running, long writtenMillis, long nowMillis) {
		Optional<Placement> placement = endpoint.placement(running.run())
			.or(() -> adopt(endpoint, running.run(), nowMillis));
		placement.ifPresent((found) -> {
			found.accept(nowMillis);
			found.recordProgress(running.progressPercent(), writtenMillis);
			found.task().checkpoint(running.checkpoint());
		});
		if (placement.isEmpty() && !this.jobCallbacks.isRecoveryInProgress()) {
			this.actions.stop(endpoint.entry(), running.run(), "not-ordered");
		}
		return placement.isPresent();
	}

	// The owner before this one started it.
	private Optional<Placement> adopt(PooledEndpoint endpoint, TaskRun run, long nowMillis) {
		return this.jobCallbacks.findDurableTask(run.task())
			.filter((task) -> !task.job().isFinished() && !task.isDone())
			.filter((task) -> task.placement() == null && run.number() > task.lastTerminatedRun())
			.map((task) -> this.jobCallbacks.adopt(task, run, endpoint, nowMillis));
	}

	// One that was accepted before the lists were asked for would be in one of them; one
	// that was stopped before can't begin any more.
	private boolean isCertainlyLost(Placement placement, long askedMillis) {
		if (placement.stopConfirmedMillis() >= 0) {
			return askedMillis > placement.stopConfirmedMillis() + this.settings.stopLatencyMillis();
		}
		return placement.isAccepted() && placement.acceptedMillis() < askedMillis;
	}

	private void processTerminated(PooledEndpoint endpoint, TerminatedRun terminatedRun, long nowMillis) {
		Optional<Placement> placement = endpoint.placement(terminatedRun.run());
		Optional<PooledTask> durableTask = placement.map(Placement::task)
			.filter((task) -> task.job().spec().durable())
			.or(() -> this.jobCallbacks.findDurableTask(terminatedRun.run().task()));
		if (placement.isEmpty() && durableTask.isEmpty()
				&& this.jobCallbacks.mayBeUnread(terminatedRun.run().task().jobId())
				&& endpoint.terminations().mayDefer(terminatedRun.number(), nowMillis)) {
			endpoint.terminations().recordUnresolved(terminatedRun.number(), nowMillis);
			if (endpoint.terminations().shouldReport(terminatedRun.number(), nowMillis)) {
				this.actions.orphanedRunTerminated(terminationId(endpoint, terminatedRun), terminatedRun);
			}
			return;
		}
		boolean alreadyRecorded = durableTask.filter((task) -> terminatedRun.run().number() <= task.lastTerminatedRun())
			.isPresent();
		if (durableTask.isEmpty() || alreadyRecorded) {
			endpoint.terminations().recordProcessed(terminatedRun.number());
		}
		else {
			durableRunTerminated(endpoint, durableTask.get(), terminatedRun);
		}
		if (placement.isPresent()) {
			updateHealth(placement.get(), terminatedRun.kind(), nowMillis);
			terminate(placement.get(), terminatedRun.kind(), nowMillis);
		}
		else if (durableTask.isPresent() && !alreadyRecorded) {
			this.jobCallbacks.remoteRunTerminated(durableTask.get(), terminatedRun, nowMillis);
		}
	}

	private void durableRunTerminated(PooledEndpoint endpoint, PooledTask task, TerminatedRun terminatedRun) {
		endpoint.terminations().recordUnstored(terminatedRun.number());
		task.recordTermination(terminatedRun.run().number());
		task.checkpoint(terminatedRun.checkpoint());
		this.actions.durableRunTerminated(task.job(), terminationId(endpoint, terminatedRun));
	}

	private static TerminationId terminationId(PooledEndpoint endpoint, TerminatedRun terminatedRun) {
		return new TerminationId(endpoint.entry().id(), endpoint.startedEpochMillis(), terminatedRun.number());
	}

	private void updateHealth(Placement placement, TerminationKind kind, long nowMillis) {
		EndpointHealth health = placement.endpoint().health();
		if (kind == TerminationKind.DONE) {
			double runMillis = nowMillis - placement.orderedMillis();
			health.succeeded(runMillis / placement.expectedMillis());
		}
		else if (kind == TerminationKind.FAILED) {
			health.failed(placement.task().job().spec().jobId(), nowMillis);
		}
	}

	private void terminate(Placement placement, TerminationKind kind, long nowMillis) {
		placement.endpoint().remove(placement);
		this.jobCallbacks.runTerminated(placement, kind, nowMillis);
	}

	void tick(Collection<PooledEndpoint> endpoints, Predicate<Placement> hasRoomElsewhere, long nowMillis) {
		List.copyOf(endpoints)
			.stream()
			.flatMap((endpoint) -> endpoint.placements().stream())
			.forEach((placement) -> check(placement, hasRoomElsewhere, nowMillis));
	}

	private void check(Placement placement, Predicate<Placement> hasRoomElsewhere, long nowMillis) {
		if (placement.isStopping()) {
			retryStop(placement, nowMillis);
		}
		else if (!placement.isAccepted() && nowMillis - placement.orderedMillis() > START_CONFIRMATION_TIMEOUT_MILLIS) {
			stop(placement, "start-unconfirmed", nowMillis);
		}
		else if (isRestartableElsewhere(placement) && isSlow(placement)) {
			recordSlowRun(placement, nowMillis);
			if (placement.task().slowRestartCount() < MAX_SLOW_RESTARTS && hasRoomElsewhere.test(placement)) {
				placement.task().countSlowRestart();
				stop(placement, "slow: " + placement.progress(), nowMillis);
			}
		}
	}

	// A task that was slow elsewhere too says nothing of this endpoint.
	private static void recordSlowRun(Placement placement, long nowMillis) {
		if (!placement.isCountedAsSlow() && placement.task().slowRestartCount() == 0) {
			placement.endpoint().health().slow(nowMillis);
		}
		placement.markCountedAsSlow();
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
		return placement.observedMillis() > Math.max(MIN_SLOW_MILLIS, placement.expectedMillis() / 2)
				&& placement.projectedMillis() > SLOW_FACTOR * placement.expectedMillis();
	}

	/**
	 * Knows the jobs whose runs are kept.
	 */
	interface JobCallbacks {

		/**
		 * Takes note of the certain end of a run.
		 * @param placement the run, no longer on its endpoint
		 * @param kind how it ended
		 * @param nowMillis the time in milliseconds
		 */
		void runTerminated(Placement placement, TerminationKind kind, long nowMillis);

		/**
		 * Takes note of the end of a run that an earlier owner started.
		 * @param task the task
		 * @param terminatedRun the end
		 * @param nowMillis the time in milliseconds
		 */
		void remoteRunTerminated(PooledTask task, TerminatedRun terminatedRun, long nowMillis);

		/**
		 * Finds a task of a durable job.
		 * @param id the task
		 * @return the task, or empty if it is not known
		 */
		Optional<PooledTask> findDurableTask(TaskId id);

		/**
		 * Returns whether a job that is not known may be a durable one that is still to
		 * be read from the shared log, by this host or another one.
		 * @param jobId the job
		 * @return whether it may, so that endpoints have to keep its ends
		 */
		boolean mayBeUnread(String jobId);

		/**
		 * Returns whether runs that are not known should go on, as their jobs will be
		 * read soon.
		 * @return whether they should
		 */
		boolean isRecoveryInProgress();

		/**
		 * Goes on with a run that an earlier owner started.
		 * @param task the task
		 * @param run the run
		 * @param endpoint where it runs
		 * @param nowMillis the time in milliseconds
		 * @return the placement
		 */
		Placement adopt(PooledTask task, TaskRun run, PooledEndpoint endpoint, long nowMillis);

	}

}
