package org.masticwick.core.pool;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds how many endpoints a task can crash. It records under which tasks endpoints were
 * lost and decides whether such a task is started again, waits until the losses are
 * explained, or is given up together with its job.
 */
final class CrashLoopGuard {

	/**
	 * A crash at most this long after the start of a run may be caused by it, in
	 * milliseconds. The time includes that until the lease has expired.
	 */
	private static final long MAX_ATTRIBUTABLE_MILLIS = 3_000;

	/**
	 * A long-running task that was running for this time has not caused the loss, in
	 * milliseconds. Over its long life it outlasts many endpoints.
	 */
	private static final long STABLE_RUN_MILLIS = 10_000;

	private final LossHistory history;

	private final PoolActions actions;

	/** Tasks of unfinished jobs under which endpoints were lost. */
	private final Set<PooledTask> watched = new LinkedHashSet<>();

	CrashLoopGuard(LossHistory history, PoolActions actions) {
		this.history = history;
		this.actions = actions;
	}

	LossHistory history() {
		return this.history;
	}

	/**
	 * Records that a run was lost together with its endpoint.
	 * @param placement the placement of the run
	 * @param cause why it is lost
	 * @param otherRunCount how many other runs were lost with it
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void runLost(Placement placement, LossCause cause, int otherRunCount, long nowMillis) {
		PooledTask task = placement.task();
		PooledEndpoint endpoint = placement.endpoint();
		long runMillis = nowMillis - placement.startRequestedMillis();
		if (task.isLongRunning() && runMillis >= STABLE_RUN_MILLIS) {
			forget(task);
			return;
		}
		// An endpoint that leaves was not crashed by a task, and one without a known
		// start cannot be told from its successor.
		if (!endpoint.entry().ready() || placement.endpointStartedEpochMillis() == 0) {
			return;
		}
		boolean attributable = placement.isAccepted() && otherRunCount == 0 && runMillis <= MAX_ATTRIBUTABLE_MILLIS;
		TaskLoss.State state = (cause == LossCause.ENDPOINT_RESTARTED) ? TaskLoss.State.CRASHED
				: TaskLoss.State.UNEXPLAINED;
		EndpointIncarnation incarnation = new EndpointIncarnation(endpoint.entry().id(), endpoint.entry().address(),
				placement.endpointStartedEpochMillis());
		TaskLoss loss = new TaskLoss(placement.run(), incarnation, state, attributable);
		this.history.add(loss, nowMillis);
		watch(task);
		this.actions.taskLossChanged(loss);
	}

	private void forget(PooledTask task) {
		this.history.forget(task.id());
		this.watched.remove(task);
		task.losses(null);
	}

	private void watch(PooledTask task) {
		this.history.find(task.id()).ifPresent((losses) -> {
			task.losses(losses);
			this.watched.add(task);
		});
	}

	/**
	 * Records that an incarnation of an endpoint was heard or listed, which may explain
	 * earlier losses.
	 * @param incarnation the incarnation
	 * @param heard whether it answered
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void incarnationSeen(EndpointIncarnation incarnation, boolean heard, long nowMillis) {
		this.history.explain(incarnation, heard, nowMillis).forEach(this.actions::taskLossChanged);
	}

	/**
	 * Watches the tasks of a new job under which endpoints were lost before, in an
	 * earlier submission or at another owner.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void watch(PooledJob job, long nowMillis) {
		if (this.history.isEmpty()) {
			return;
		}
		job.allTasks().stream().filter((task) -> !task.isDone()).forEach(this::watch);
		hold(job.readyTasks(), nowMillis);
		job.readyTasks().removeIf(PooledTask::isHeld);
	}

	/**
	 * Returns whether a job has a task that must not be started again.
	 * @param job the job
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether the job has to fail
	 */
	boolean isGivenUp(PooledJob job, long nowMillis) {
		return !this.history.isEmpty() && verdict(job.allTasks(), nowMillis) == RestartVerdict.GIVE_UP;
	}

	/**
	 * Decides whether tasks may be started again together.
	 * @param tasks the tasks
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the strictest decision on any of them
	 */
	RestartVerdict verdict(Collection<PooledTask> tasks, long nowMillis) {
		return tasks.stream()
			.map((task) -> task.restartVerdict(nowMillis))
			.max(RestartVerdict::compareTo)
			.orElse(RestartVerdict.START);
	}

	/**
	 * Makes those tasks wait whose losses are to be explained first.
	 * @param tasks the tasks
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void hold(Collection<PooledTask> tasks, long nowMillis) {
		tasks.stream().filter((task) -> task.restartVerdict(nowMillis) == RestartVerdict.WAIT).forEach((task) -> {
			task.setHeld(true);
			reportDecision(task, RestartVerdict.WAIT);
		});
	}

	void reportDecision(PooledTask task, RestartVerdict verdict) {
		TaskLosses losses = task.losses();
		if (losses != null) {
			this.actions.restartDecided(task.id(), verdict, losses.count(TaskLoss.State.CRASHED),
					losses.count(TaskLoss.State.UNEXPLAINED));
		}
	}

	/**
	 * Returns the tasks whose wait has ended, and those that are given up while they
	 * wait. No run of these tasks is known.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the tasks
	 */
	List<PooledTask> pollDecided(long nowMillis) {
		this.watched.removeIf((task) -> task.job().isFinished() || task.isDone());
		List<PooledTask> decided = this.watched.stream()
			.filter((task) -> task.placement() == null)
			.filter((task) -> isDecided(task, nowMillis))
			.toList();
		decided.forEach((task) -> task.setHeld(false));
		return decided;
	}

	private static boolean isDecided(PooledTask task, long nowMillis) {
		return switch (task.restartVerdict(nowMillis)) {
			case GIVE_UP -> true;
			case START -> task.isHeld();
			case WAIT -> false;
		};
	}

}
