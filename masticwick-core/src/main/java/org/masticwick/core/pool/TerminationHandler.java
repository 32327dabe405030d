package org.masticwick.core.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Handles the termination of runs: marks the task as done, restarts it, or fails its job
 * after too many attempts; for a gang, all members together. Adopts runs of durable jobs
 * that a previous owner started.
 */
final class TerminationHandler implements RunTracker.JobCallbacks {

	private final JobTable jobs;

	private final RunTimeEstimator runTimeEstimator;

	private final TaskStarter starter;

	private final JobTable.RunStopper stopper;

	private final CrashLoopGuard crashLoopGuard;

	private final long orphanedRunMaxMillis;

	/**
	 * Tasks of durable jobs whose endpoint was taken by another owner, with the time in
	 * milliseconds after which their runs have certainly terminated.
	 */
	private final Map<PooledTask, Long> uncertainUntilMillis = new LinkedHashMap<>();

	private RecoveryStatus recoveryStatus = RecoveryStatus.COMPLETE;

	private DurableJobLookup durableJobs = DurableJobLookup.NONE;

	TerminationHandler(JobTable jobs, RunTimeEstimator runTimeEstimator, TaskStarter starter,
			JobTable.RunStopper stopper, CrashLoopGuard crashLoopGuard, long orphanedRunMaxMillis) {
		this.jobs = jobs;
		this.crashLoopGuard = crashLoopGuard;
		this.runTimeEstimator = runTimeEstimator;
		this.starter = starter;
		this.stopper = stopper;
		this.orphanedRunMaxMillis = orphanedRunMaxMillis;
	}

	void recoveryStatus(RecoveryStatus status) {
		this.recoveryStatus = status;
	}

	void durableJobs(DurableJobLookup lookup) {
		this.durableJobs = lookup;
	}

	@Override
	public void runTerminated(Placement placement, TerminationKind kind, long nowMillis) {
		PooledTask task = placement.task();
		PooledJob job = task.job();
		task.placement(null);
		job.removePlacement();
		if (job.isFinished()) {
			this.jobs.removeIfTerminated(job, nowMillis);
		}
		else if (task.isDone()) {
			// An earlier run was reported as done while this one went on.
			return;
		}
		else if (task.step().traits().gang()) {
			gangMemberTerminated(placement, kind, nowMillis);
		}
		else if (task.step().traits().longRunning()) {
			restart(List.of(task), nowMillis);
		}
		else {
			if (kind == TerminationKind.DONE) {
				this.runTimeEstimator.observe(job.terms().queue(), nowMillis - placement.startRequestedMillis());
			}
			taskRunTerminated(placement.run(), task, kind, nowMillis);
		}
	}

	// Restarts tasks whose previous runs have certainly terminated, unless endpoints were
	// lost under one of them too often.
	private void restart(List<PooledTask> tasks, long nowMillis) {
		RestartVerdict verdict = this.crashLoopGuard.verdict(tasks, nowMillis);
		if (verdict == RestartVerdict.GIVE_UP) {
			giveUp(tasks.get(0).job(), nowMillis);
		}
		else if (verdict == RestartVerdict.WAIT) {
			this.crashLoopGuard.hold(tasks, nowMillis);
		}
		else {
			tasks.forEach((task) -> {
				task.restartReady(nowMillis);
				this.crashLoopGuard.reportDecision(task, RestartVerdict.START);
			});
			this.jobs.restart(tasks, nowMillis);
		}
	}

	/**
	 * Fails a job because a task of it has crashed its endpoints.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void giveUp(PooledJob job, long nowMillis) {
		job.allTasks()
			.stream()
			.filter((task) -> task.restartVerdict(nowMillis) == RestartVerdict.GIVE_UP)
			.forEach((task) -> this.crashLoopGuard.reportDecision(task, RestartVerdict.GIVE_UP));
		this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.FAILED, "endpoints-crashed"), nowMillis);
	}

	/**
	 * Restarts or gives up the tasks that waited until the losses of their endpoints were
	 * explained.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void decideAfterLosses(long nowMillis) {
		this.crashLoopGuard.pollDecided(nowMillis)
			.stream()
			.filter((task) -> !task.job().isFinished())
			.forEach((task) -> decideAfterLosses(task, nowMillis));
	}

	private void decideAfterLosses(PooledTask task, long nowMillis) {
		if (task.restartVerdict(nowMillis) == RestartVerdict.GIVE_UP) {
			giveUp(task.job(), nowMillis);
		}
		else {
			restartIfWaiting(task, nowMillis);
		}
	}

	/**
	 * Finishes a job whose tasks are all done, or of which one has no attempt left.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether the job has finished
	 */
	boolean finishIfDecided(PooledJob job, long nowMillis) {
		if (job.isComplete()) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.COMPLETED, "done"), nowMillis);
		}
		else if (job.allTasks().stream().anyMatch(TerminationHandler::hasNoAttemptLeft)) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.FAILED, "attempts-used-up"), nowMillis);
		}
		return job.isFinished();
	}

	private static boolean hasNoAttemptLeft(PooledTask task) {
		return !task.isLongRunning() && !task.isDone() && task.failureCount() > 0
				&& task.failureCount() >= task.job().terms().maxAttempts();
	}

	private void taskRunTerminated(TaskRun run, PooledTask task, TerminationKind kind, long nowMillis) {
		if (kind == TerminationKind.DONE) {
			taskDone(task, nowMillis);
		}
		else if (!failedTooOften(run, task, kind, nowMillis)) {
			restart(List.of(task), nowMillis);
		}
	}

	// Counts a failed run, and fails the job if no attempt is left. The first member of a
	// gang counts for all. Long-running tasks have no limit of attempts.
	private boolean failedTooOften(TaskRun run, PooledTask task, TerminationKind kind, long nowMillis) {
		StepTraits traits = task.step().traits();
		if (kind != TerminationKind.FAILED || traits.longRunning()) {
			return false;
		}
		PooledTask counting = traits.gang() ? task.job().tasksOfStep(task.id().step()).get(0) : task;
		if (counting.countFailure(run.number()) < task.job().terms().maxAttempts()) {
			return false;
		}
		this.jobs.finish(task.job(), JobOutcome.of(JobOutcome.Kind.FAILED, "attempts-used-up"), nowMillis);
		return true;
	}

	// One member that terminates as done completes all members. Any other termination
	// ends the run of the whole gang, which restarts after all members have certainly
	// terminated.
	private void gangMemberTerminated(Placement placement, TerminationKind kind, long nowMillis) {
		PooledTask task = placement.task();
		PooledJob job = task.job();
		List<PooledTask> members = job.tasksOfStep(task.id().step());
		if (task.isDone()) {
			return;
		}
		if (kind == TerminationKind.DONE && !task.step().traits().longRunning()) {
			members.forEach((member) -> taskDone(member, nowMillis));
			return;
		}
		JobTable.placements(members.stream())
			.forEach((other) -> this.stopper.stop(other, "gang-member-ended", nowMillis));
		if (!failedTooOften(placement.run(), task, kind, nowMillis)) {
			restartGang(members, nowMillis);
		}
	}

	private void restartGang(List<PooledTask> members, long nowMillis) {
		if (members.stream().allMatch(PooledTask::isWaiting)) {
			restart(members, nowMillis);
		}
	}

	// Restarts a task whose previous run has certainly terminated. A gang member restarts
	// only together with all others.
	private void restartIfWaiting(PooledTask task, long nowMillis) {
		if (task.job().isFinished() || !task.isWaiting()) {
			return;
		}
		if (task.step().traits().gang()) {
			restartGang(task.job().tasksOfStep(task.id().step()), nowMillis);
		}
		else {
			restart(List.of(task), nowMillis);
		}
	}

	private boolean clearUncertain(PooledTask task) {
		task.possiblyRunning(false);
		return this.uncertainUntilMillis.remove(task) != null;
	}

	private void taskDone(PooledTask task, long nowMillis) {
		PooledJob job = task.job();
		if (task.isDone()) {
			return;
		}
		if (job.taskDone(task)) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.COMPLETED, "done"), nowMillis);
		}
		else {
			this.jobs.enqueueReady(job, nowMillis);
		}
	}

	/**
	 * Restarts tasks whose endpoint was taken by another owner so long ago that their
	 * runs have certainly terminated.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void restartAfterUncertainty(long nowMillis) {
		List<PooledTask> expired = this.uncertainUntilMillis.entrySet()
			.stream()
			.filter((entry) -> nowMillis >= entry.getValue())
			.map(Map.Entry::getKey)
			.toList();
		expired.forEach((task) -> {
			clearUncertain(task);
			restartIfWaiting(task, nowMillis);
		});
	}

	/**
	 * Handles a run whose endpoint another owner controls. The task of a durable job
	 * restarts once its run has certainly terminated; any other job is answered as
	 * uncertain.
	 * @param endpoint the endpoint
	 * @param placement the placement of the run
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void endpointRevoked(PooledEndpoint endpoint, Placement placement, long nowMillis) {
		PooledTask task = placement.task();
		PooledJob job = task.job();
		endpoint.remove(placement);
		task.placement(null);
		job.removePlacement();
		if (job.isFinished()) {
			this.jobs.giveUpDeferred(job, nowMillis);
			this.jobs.removeIfTerminated(job, nowMillis);
		}
		else if (job.spec().durable()) {
			this.uncertainUntilMillis.put(task, nowMillis + this.orphanedRunMaxMillis);
			task.possiblyRunning(true);
			stopRestOfGang(task, nowMillis);
		}
		else {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.UNCERTAIN, "endpoint-of-another-owner"), nowMillis);
		}
	}

	private void stopRestOfGang(PooledTask task, long nowMillis) {
		if (task.step().traits().gang()) {
			JobTable.placements(task.job().tasksOfStep(task.id().step()).stream())
				.forEach((other) -> this.stopper.stop(other, "gang-member-lost", nowMillis));
		}
	}

	@Override
	public void remoteRunTerminated(PooledTask task, TerminatedRun terminatedRun, long nowMillis) {
		// The end of an earlier run does not tell whether the present one has ended.
		boolean earlierRun = terminatedRun.run().number() < task.runCount();
		boolean wasUncertain = !earlierRun && clearUncertain(task);
		StepTraits traits = task.step().traits();
		if (task.job().isFinished() || task.isDone()) {
			return;
		}
		if (terminatedRun.kind() == TerminationKind.DONE && !traits.longRunning()) {
			List<PooledTask> doneTasks = traits.gang() ? task.job().tasksOfStep(task.id().step()) : List.of(task);
			task.job().readyTasks().removeAll(doneTasks);
			JobTable.placements(doneTasks.stream())
				.forEach((present) -> this.stopper.stop(present, "done-in-another-run", nowMillis));
			doneTasks.forEach((each) -> taskDone(each, nowMillis));
		}
		else if (!failedTooOften(terminatedRun.run(), task, terminatedRun.kind(), nowMillis)) {
			restartAfterRemoteEnd(task, wasUncertain, nowMillis);
		}
	}

	private void restartAfterRemoteEnd(PooledTask task, boolean wasUncertain, long nowMillis) {
		StepTraits traits = task.step().traits();
		if (traits.gang() || traits.longRunning()) {
			if (wasUncertain) {
				restartIfWaiting(task, nowMillis);
			}
		}
		else if (task.isWaiting()) {
			task.job().readyTasks().remove(task);
			restart(List.of(task), nowMillis);
		}
	}

	@Override
	public Optional<PooledTask> findDurableTask(TaskId id) {
		String key = PooledJob.key(id.jobId(), id.occurrence());
		return this.jobs.findUnansweredOrTerminating(key)
			.or(() -> this.durableJobs.openOccurrence(id.jobId(), id.occurrence()))
			.filter((job) -> job.spec().durable() && !job.isReleased())
			.flatMap((job) -> job.task(id));
	}

	@Override
	public boolean isDurableJob(String jobId) {
		return this.durableJobs.isKnown(jobId);
	}

	@Override
	public boolean mayBeUnread(TaskId task) {
		if (this.durableJobs.isKnown(task.jobId())) {
			return this.durableJobs.isUnopened(task.jobId(), task.occurrence());
		}
		return this.recoveryStatus.mayBeUnread(task.jobId());
	}

	@Override
	public boolean isRecoveryInProgress(String jobId) {
		return this.recoveryStatus.isInProgress(jobId);
	}

	@Override
	public Placement adopt(PooledTask task, TaskRun run, PooledEndpoint endpoint, long nowMillis) {
		clearUncertain(task);
		task.job().readyTasks().remove(task);
		task.job().markStarted();
		if (task.job().readyTasks().isEmpty()) {
			this.jobs.queue().remove(task.job());
		}
		task.assignRunNumber(Math.max(run.number(), task.runCount()));
		return this.starter.place(task, run, endpoint, nowMillis);
	}

}
