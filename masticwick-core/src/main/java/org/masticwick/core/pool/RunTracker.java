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
	private static final long FULL_PAUSE_MILLIS = 20;

	/**
	 * After how long a start that nothing is heard of is taken back; two answers' time.
	 */
	private static final long UNACCEPTED_MILLIS = 250;

	private final PoolSettings settings;

	private final PoolActions actions;

	private final JobCallbacks jobs;

	RunTracker(PoolSettings settings, PoolActions actions, JobCallbacks jobs) {
		this.settings = settings;
		this.actions = actions;
		this.jobs = jobs;
	}

	void noteBirth(PooledEndpoint endpoint, long bornEpochMillis, long nowMillis) {
		if (bornEpochMillis <= endpoint.bornEpochMillis()) {
			return;
		}
		boolean known = endpoint.bornEpochMillis() > 0;
		endpoint.reborn(bornEpochMillis);
		if (known) {
			endAll(endpoint, TerminationKind.LOST, nowMillis);
		}
	}

	void endAll(PooledEndpoint endpoint, TerminationKind kind, long nowMillis) {
		endpoint.placements().forEach((placement) -> end(placement, kind, nowMillis));
	}

	void startRefused(Placement placement, StartRefusal refusal, long nowMillis) {
		PooledEndpoint endpoint = placement.endpoint();
		switch (refusal) {
			case NO_CAPACITY -> endpoint.fullUntil(nowMillis + FULL_PAUSE_MILLIS);
			case UNHEALTHY -> endpoint.health().refused(nowMillis);
			case NOT_SENT, WRONG_INCARNATION, FENCED -> endpoint.heard(Long.MIN_VALUE / 2);
			default -> {
			}
		}
		end(placement, TerminationKind.LOST, nowMillis);
	}

	void stop(Placement placement, String reason, long nowMillis) {
		if (placement.isStopping()) {
			return;
		}
		placement.stopSent(nowMillis);
		this.actions.stop(placement.endpoint().entry(), placement.run(), reason);
	}

	void reported(PooledEndpoint endpoint, EndpointReport report, long askedMillis, long nowMillis) {
		noteBirth(endpoint, report.startedEpochMillis(), nowMillis);
		endpoint.clockTold(report.clockMillis(), nowMillis);
		long writtenMillis = endpoint.writtenMillis(report.clockMillis());
		report.terminatedRuns()
			.stream()
			.filter((ended) -> endpoint.ends().isOpen(ended.number()))
			.forEach((ended) -> takeEnd(endpoint, ended, nowMillis));
		int foreignCount = 0;
		Set<TaskRun> runningRuns = new HashSet<>();
		for (RunningTask running : report.runningTasks()) {
			runningRuns.add(running.run());
			foreignCount += takeRunning(endpoint, running, writtenMillis, nowMillis) ? 0 : 1;
		}
		endpoint.foreignRunCount(foreignCount);
		endpoint.placements()
			.stream()
			.filter((placement) -> !runningRuns.contains(placement.run()))
			.filter((placement) -> isCertainlyOver(placement, askedMillis))
			.forEach((placement) -> end(placement, TerminationKind.LOST, nowMillis));
	}

	private boolean takeRunning(PooledEndpoint endpoint, RunningTask running, long writtenMillis, long nowMillis) {
		Optional<Placement> placement = endpoint.placement(running.run())
			.or(() -> adopt(endpoint, running.run(), nowMillis));
		placement.ifPresent((known) -> {
			known.accept(nowMillis);
			known.progressed(running.progressPercent(), writtenMillis);
			known.task().checkpoint(running.checkpoint());
		});
		if (placement.isEmpty() && !this.jobs.awaitsUnread()) {
			this.actions.stop(endpoint.entry(), running.run(), "not-ordered");
		}
		return placement.isPresent();
	}

	// The owner before this one started it.
	private Optional<Placement> adopt(PooledEndpoint endpoint, TaskRun run, long nowMillis) {
		return this.jobs.durableTask(run.task())
			.filter((task) -> !task.job().isFinished() && !task.isDone())
			.filter((task) -> task.placement() == null && run.number() > task.endedRun())
			.map((task) -> this.jobs.adopt(task, run, endpoint, nowMillis));
	}

	// One that was accepted before the lists were asked for would be in one of them; one
	// that was stopped before can't begin any more.
	private boolean isCertainlyOver(Placement placement, long askedMillis) {
		if (placement.stopConfirmedMillis() >= 0) {
			return askedMillis > placement.stopConfirmedMillis() + this.settings.stopLatencyMillis();
		}
		return placement.isAccepted() && placement.acceptedMillis() < askedMillis;
	}

	private void takeEnd(PooledEndpoint endpoint, TerminatedRun ended, long nowMillis) {
		Optional<Placement> placement = endpoint.placement(ended.run());
		Optional<PooledTask> durable = placement.map(Placement::task)
			.filter((task) -> task.job().spec().durable())
			.or(() -> this.jobs.durableTask(ended.run().task()));
		if (placement.isEmpty() && durable.isEmpty() && this.jobs.mayBeUnread(ended.run().task().jobId())
				&& endpoint.ends().mayKeepUnresolved(ended.number(), nowMillis)) {
			endpoint.ends().unresolved(ended.number(), nowMillis);
			if (endpoint.ends().shouldTell(ended.number(), nowMillis)) {
				this.actions.orphanedRunTerminated(reference(endpoint, ended), ended);
			}
			return;
		}
		boolean counted = durable.filter((task) -> ended.run().number() <= task.endedRun()).isPresent();
		if (durable.isEmpty() || counted) {
			endpoint.ends().takenIn(ended.number());
		}
		else {
			durableEnded(endpoint, durable.get(), ended);
		}
		if (placement.isPresent()) {
			judge(placement.get(), ended.kind(), nowMillis);
			end(placement.get(), ended.kind(), nowMillis);
		}
		else if (durable.isPresent() && !counted) {
			this.jobs.endedElsewhere(durable.get(), ended, nowMillis);
		}
	}

	private void durableEnded(PooledEndpoint endpoint, PooledTask task, TerminatedRun ended) {
		endpoint.ends().takenInUnstored(ended.number());
		task.runEnded(ended.run().number());
		task.checkpoint(ended.checkpoint());
		this.actions.durableRunTerminated(task.job(), reference(endpoint, ended));
	}

	private static TerminationId reference(PooledEndpoint endpoint, TerminatedRun ended) {
		return new TerminationId(endpoint.entry().id(), endpoint.bornEpochMillis(), ended.number());
	}

	private void judge(Placement placement, TerminationKind kind, long nowMillis) {
		EndpointHealth health = placement.endpoint().health();
		if (kind == TerminationKind.DONE) {
			double runMillis = nowMillis - placement.orderedMillis();
			health.succeeded(runMillis / placement.expectedMillis());
		}
		else if (kind == TerminationKind.FAILED) {
			health.failed(placement.task().job().spec().jobId(), nowMillis);
		}
	}

	private void end(Placement placement, TerminationKind kind, long nowMillis) {
		placement.endpoint().remove(placement);
		this.jobs.ended(placement, kind, nowMillis);
	}

	void tick(Collection<PooledEndpoint> endpoints, Predicate<Placement> hasRoomElsewhere, long nowMillis) {
		List.copyOf(endpoints)
			.stream()
			.flatMap((endpoint) -> endpoint.placements().stream())
			.forEach((placement) -> check(placement, hasRoomElsewhere, nowMillis));
	}

	private void check(Placement placement, Predicate<Placement> hasRoomElsewhere, long nowMillis) {
		if (placement.isStopping()) {
			stopAgain(placement, nowMillis);
		}
		else if (!placement.isAccepted() && nowMillis - placement.orderedMillis() > UNACCEPTED_MILLIS) {
			stop(placement, "start-unconfirmed", nowMillis);
		}
		else if (mayMove(placement) && isSlow(placement)) {
			countSlow(placement, nowMillis);
			if (placement.task().slowRestartCount() < MAX_SLOW_RESTARTS && hasRoomElsewhere.test(placement)) {
				placement.task().countSlowRestart();
				stop(placement, "slow: " + placement.progress(), nowMillis);
			}
		}
	}

	// A task that was slow elsewhere too says nothing of this endpoint.
	private static void countSlow(Placement placement, long nowMillis) {
		if (!placement.isCountedAsSlow() && placement.task().slowRestartCount() == 0) {
			placement.endpoint().health().slow(nowMillis);
		}
		placement.countAsSlow();
	}

	private void stopAgain(Placement placement, long nowMillis) {
		if (nowMillis - placement.stopSentMillis() >= this.settings.stopRetryMillis()) {
			placement.stopSent(nowMillis);
			this.actions.stop(placement.endpoint().entry(), placement.run(), "no-effect-yet");
		}
	}

	private static boolean mayMove(Placement placement) {
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
		void ended(Placement placement, TerminationKind kind, long nowMillis);

		/**
		 * Takes note of the end of a run that an earlier owner started.
		 * @param task the task
		 * @param end the end
		 * @param nowMillis the time in milliseconds
		 */
		void endedElsewhere(PooledTask task, TerminatedRun end, long nowMillis);

		/**
		 * Finds a task of a durable job.
		 * @param id the task
		 * @return the task, or empty if it is not known
		 */
		Optional<PooledTask> durableTask(TaskId id);

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
		boolean awaitsUnread();

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
