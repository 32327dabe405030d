package org.masticwick.core.pool;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Starts the ready tasks of a job for which an endpoint has capacity. The tasks of a gang
 * are started all at once or not at all.
 */
final class TaskStarter {

	private final EndpointTable endpoints;

	private final RunTimeEstimator runTimeEstimator;

	private final PoolActions actions;

	TaskStarter(EndpointTable endpoints, RunTimeEstimator runTimeEstimator, PoolActions actions) {
		this.endpoints = endpoints;
		this.runTimeEstimator = runTimeEstimator;
		this.actions = actions;
	}

	/**
	 * Starts the ready tasks of a job for which an endpoint has capacity. A task that
	 * cannot be placed makes the others of its step wait too, as they need the same, but
	 * not those of other steps.
	 * @param job the job
	 * @param failures the failed placements of this scheduling pass; new ones are added
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether a task was started
	 */
	boolean startReady(PooledJob job, PlacementFailures failures, long nowMillis) {
		boolean started = false;
		BitSet waitingSteps = new BitSet();
		Optional<PooledTask> next = job.nextReadyTask(waitingSteps);
		while (next.isPresent()) {
			PooledTask task = next.get();
			if (start(task, failures, nowMillis)) {
				started = true;
			}
			else {
				waitingSteps.set(task.id().step());
			}
			next = job.nextReadyTask(waitingSteps);
		}
		return started;
	}

	private boolean start(PooledTask task, PlacementFailures failures, long nowMillis) {
		PooledJob job = task.job();
		if (failures.covers(task)) {
			return false;
		}
		int number = nextRunNumber(task);
		if (!job.runNumbers().reserved().test(number)) {
			return false;
		}
		boolean placed = task.step().traits().gang() ? startGang(job, task.id().step(), number, nowMillis)
				: startOne(task, number, nowMillis);
		if (!placed) {
			failures.add(task, task.isolation(nowMillis) == Isolation.REQUIRED);
		}
		return placed;
	}

	// The members of a gang have one number.
	private static int nextRunNumber(PooledTask task) {
		if (!task.step().traits().gang()) {
			return task.nextRunNumber();
		}
		return task.job().tasksOfStep(task.id().step()).stream().mapToInt(PooledTask::nextRunNumber).max().orElse(1);
	}

	private boolean startOne(PooledTask task, int number, long nowMillis) {
		Optional<PooledEndpoint> endpoint = this.endpoints.select(task, nowMillis);
		endpoint.ifPresent((selected) -> {
			task.job().readyTasks().remove(task);
			start(task, task.assignRunNumber(number), selected, nowMillis);
		});
		return endpoint.isPresent();
	}

	private boolean startGang(PooledJob job, int step, int number, long nowMillis) {
		List<PooledTask> members = job.tasksOfStep(step);
		if (!members.stream().allMatch(PooledTask::isWaiting)) {
			return false;
		}
		Map<PooledTask, PooledEndpoint> endpointsByMember = new LinkedHashMap<>();
		for (PooledTask member : members) {
			Optional<PooledEndpoint> endpoint = this.endpoints.select(member, nowMillis);
			if (endpoint.isEmpty()) {
				break;
			}
			endpoint.get().reserve(member.step());
			endpointsByMember.put(member, endpoint.get());
		}
		endpointsByMember.forEach((member, endpoint) -> endpoint.release(member.step()));
		if (endpointsByMember.size() < members.size()) {
			return false;
		}
		job.readyTasks().removeAll(members);
		endpointsByMember
			.forEach((member, endpoint) -> start(member, member.assignRunNumber(number), endpoint, nowMillis));
		return true;
	}

	private void start(PooledTask task, TaskRun run, PooledEndpoint endpoint, long nowMillis) {
		place(task, run, endpoint, nowMillis);
		this.actions.start(endpoint.entry(), run, task.job().spec().payload(), task.checkpoint());
	}

	/**
	 * Creates the placement of a run that is on an endpoint or is about to be started
	 * there.
	 * @param task the task
	 * @param run the run
	 * @param endpoint the endpoint
	 * @param startRequestedMillis when the start was requested, in milliseconds
	 * @return the placement
	 */
	Placement place(PooledTask task, TaskRun run, PooledEndpoint endpoint, long startRequestedMillis) {
		PooledJob job = task.job();
		double expectedMillis = this.runTimeEstimator.expectedMillis(job.terms().queue(),
				task.step().estimatedMillis());
		Placement placement = new Placement(task, run, endpoint, startRequestedMillis, expectedMillis);
		task.placement(placement);
		endpoint.add(placement);
		job.addPlacement();
		return placement;
	}

}
