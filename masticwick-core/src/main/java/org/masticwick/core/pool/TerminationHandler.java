package org.masticwick.core.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides what follows from the end of a run: the task is done, starts again or has
 * failed too often; in a gang, that goes for all its members. Goes on with the runs of
 * durable jobs that an earlier owner has started.
 */
final class TerminationHandler implements RunTracker.JobCallbacks {

	private final JobTable jobs;

	private final RunTimeEstimator runTimes;

	private final TaskStarter starter;

	private final JobTable.RunStopper stopper;

	private final long strayRunMillis;

	/**
	 * Tasks of durable jobs whose endpoint went to another owner, and when their runs are
	 * certainly over, in milliseconds.
	 */
	private final Map<PooledTask, Long> uncertain = new LinkedHashMap<>();

	private RecoveryStatus unreadJobs = RecoveryStatus.COMPLETE;

	TerminationHandler(JobTable jobs, RunTimeEstimator runTimes, TaskStarter starter, JobTable.RunStopper stopper,
			long strayRunMillis) {
		this.jobs = jobs;
		this.runTimes = runTimes;
		this.starter = starter;
		this.stopper = stopper;
		this.strayRunMillis = strayRunMillis;
	}

	void unreadJobs(RecoveryStatus unread) {
		this.unreadJobs = unread;
	}

	@Override
	public void ended(Placement placement, TerminationKind kind, long nowMillis) {
		PooledTask task = placement.task();
		PooledJob job = task.job();
		task.placement(null);
		job.removePlacement();
		if (job.isFinished()) {
			this.jobs.release(job, nowMillis);
		}
		else if (task.step().traits().gang()) {
			gangMemberEnded(placement, kind, nowMillis);
		}
		else if (task.step().traits().longRunning()) {
			this.jobs.restart(List.of(task), nowMillis);
		}
		else {
			if (kind == TerminationKind.DONE) {
				this.runTimes.observe(job.terms().queue(), nowMillis - placement.orderedMillis());
			}
			taskEnded(task, kind, nowMillis);
		}
	}

	private void taskEnded(PooledTask task, TerminationKind kind, long nowMillis) {
		if (kind == TerminationKind.DONE) {
			taskDone(task, nowMillis);
		}
		else if (kind == TerminationKind.FAILED && task.countFailure() >= task.job().terms().maxAttempts()) {
			this.jobs.finish(task.job(), JobOutcome.of(JobOutcome.Kind.FAILED, "attempts-used-up"), nowMillis);
		}
		else {
			this.jobs.restart(List.of(task), nowMillis);
		}
	}

	// One end as done stands for all members. After any other end the run of the whole
	// gang is over, and it starts again when all members have certainly ended.
	private void gangMemberEnded(Placement placement, TerminationKind kind, long nowMillis) {
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
		if (kind == TerminationKind.FAILED && !task.step().traits().longRunning()
				&& members.get(0).countGangFailure(placement.run().number()) >= job.terms().maxAttempts()) {
			this.jobs.finish(job, JobOutcome.of(JobOutcome.Kind.FAILED, "attempts-used-up"), nowMillis);
		}
		else {
			restartGang(members, nowMillis);
		}
	}

	private void restartGang(List<PooledTask> members, long nowMillis) {
		if (members.stream().allMatch(PooledTask::isWaiting)) {
			this.jobs.restart(members, nowMillis);
		}
	}

	// What is certain now can start again: a member of a gang with all others.
	private void restartCertain(PooledTask task, long nowMillis) {
		if (task.job().isFinished() || !task.isWaiting()) {
			return;
		}
		if (task.step().traits().gang()) {
			restartGang(task.job().tasksOfStep(task.id().step()), nowMillis);
		}
		else {
			this.jobs.restart(List.of(task), nowMillis);
		}
	}

	private boolean takeUncertain(PooledTask task) {
		task.uncertain(false);
		return this.uncertain.remove(task) != null;
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
	 * Starts tasks again whose endpoint went to another owner long enough ago.
	 * @param nowMillis the time in milliseconds
	 */
	void restartUncertain(long nowMillis) {
		List<PooledTask> over = this.uncertain.entrySet()
			.stream()
			.filter((entry) -> nowMillis >= entry.getValue())
			.map(Map.Entry::getKey)
			.toList();
		over.forEach((task) -> {
			takeUncertain(task);
			restartCertain(task, nowMillis);
		});
	}

	/**
	 * Takes note that another owner orders the endpoint of a run.
	 * @param endpoint the endpoint
	 * @param placement the run
	 * @param nowMillis the time in milliseconds
	 */
	void revoked(PooledEndpoint endpoint, Placement placement, long nowMillis) {
		PooledTask task = placement.task();
		PooledJob job = task.job();
		endpoint.remove(placement);
		task.placement(null);
		job.removePlacement();
		if (job.isFinished()) {
			this.jobs.release(job, nowMillis);
		}
		else if (job.spec().durable()) {
			this.uncertain.put(task, nowMillis + this.strayRunMillis);
			task.uncertain(true);
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
	public void endedElsewhere(PooledTask task, TerminatedRun end, long nowMillis) {
		boolean wasUncertain = takeUncertain(task);
		StepTraits traits = task.step().traits();
		if (task.job().isFinished()) {
			return;
		}
		if (end.kind() == TerminationKind.DONE && !traits.longRunning()) {
			List<PooledTask> done = traits.gang() ? task.job().tasksOfStep(task.id().step()) : List.of(task);
			task.job().ready().removeAll(done);
			done.forEach((each) -> taskDone(each, nowMillis));
		}
		else if (traits.gang() || traits.longRunning()) {
			if (wasUncertain) {
				restartCertain(task, nowMillis);
			}
		}
		else if (task.isWaiting()) {
			task.job().ready().remove(task);
			taskEnded(task, end.kind(), nowMillis);
		}
	}

	@Override
	public Optional<PooledTask> durableTask(TaskId id) {
		String key = PooledJob.key(id.jobId(), id.occurrence());
		return this.jobs.findAny(key).filter((job) -> job.spec().durable()).flatMap((job) -> job.task(id));
	}

	@Override
	public boolean mayBeUnread(String jobId) {
		return this.unreadJobs.mayBeUnread(jobId);
	}

	@Override
	public boolean awaitsUnread() {
		return this.unreadJobs.isInProgress();
	}

	@Override
	public Placement adopt(PooledTask task, TaskRun run, PooledEndpoint endpoint, long nowMillis) {
		takeUncertain(task);
		task.job().ready().remove(task);
		task.job().markStarted();
		if (task.job().ready().isEmpty()) {
			this.jobs.queue().remove(task.job());
		}
		task.run(Math.max(run.number(), task.runCount()));
		return this.starter.place(task, run, endpoint, nowMillis);
	}

}
