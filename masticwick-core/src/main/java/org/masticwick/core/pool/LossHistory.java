package org.masticwick.core.pool;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Remembers under which tasks endpoints were lost. It outlives the jobs and the owners of
 * pools: callers submit a job again when its owner is lost, and the next owner must know
 * what became of earlier runs. Hosts exchange their losses; the order in which they learn
 * of them does not matter.
 * <p>
 * Not thread-safe: all calls must come from one thread and pass monotonic times.
 */
public final class LossHistory {

	/**
	 * How long losses are remembered after the last one of a task, in milliseconds;
	 * callers submit a job again within seconds.
	 */
	private static final long RETENTION_MILLIS = 600_000;

	/** The maximum number of tasks, so that the memory stays bounded. */
	private static final int MAX_TASKS = 10_000;

	/** Ordered by the time of the first loss. */
	private final Map<TaskId, TaskLosses> lossesByTask = new LinkedHashMap<>();

	/** The unexplained losses by the lost incarnation. */
	private final Map<EndpointIncarnation, Set<TaskLoss>> unexplained = new LinkedHashMap<>();

	/**
	 * Adds a loss, or what has become known of it since.
	 * @param loss the loss
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether anything changed
	 */
	public boolean add(TaskLoss loss, long nowMillis) {
		TaskId task = loss.run().task();
		if (!this.lossesByTask.containsKey(task)) {
			removeExpired(nowMillis);
		}
		boolean changed = this.lossesByTask.computeIfAbsent(task, (key) -> new TaskLosses()).add(loss, nowMillis);
		if (changed && loss.state() == TaskLoss.State.UNEXPLAINED) {
			this.unexplained.computeIfAbsent(loss.endpoint(), (key) -> new LinkedHashSet<>()).add(loss);
		}
		else if (changed) {
			removeUnexplained(loss);
		}
		return changed;
	}

	private void removeUnexplained(TaskLoss loss) {
		this.unexplained.computeIfPresent(loss.endpoint(), (key, losses) -> {
			losses.remove(loss.withState(TaskLoss.State.UNEXPLAINED));
			return losses.isEmpty() ? null : losses;
		});
	}

	private void removeExpired(long nowMillis) {
		while (!this.lossesByTask.isEmpty()) {
			Map.Entry<TaskId, TaskLosses> oldest = this.lossesByTask.entrySet().iterator().next();
			boolean expired = nowMillis - oldest.getValue().changedMillis() > RETENTION_MILLIS;
			if (!expired && this.lossesByTask.size() < MAX_TASKS) {
				return;
			}
			forget(oldest.getKey());
		}
	}

	/**
	 * Explains losses by an incarnation of an endpoint that was heard or listed.
	 * @param incarnation the incarnation
	 * @param heard whether it answered; an entry of the list may outlive its endpoint
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the losses that are explained now
	 */
	List<TaskLoss> explain(EndpointIncarnation incarnation, boolean heard, long nowMillis) {
		if (this.unexplained.isEmpty()) {
			return List.of();
		}
		List<TaskLoss> explained = this.unexplained.entrySet()
			.stream()
			.flatMap((lost) -> explain(lost.getKey(), incarnation, heard).stream()
				.flatMap((state) -> lost.getValue().stream().map((loss) -> loss.withState(state))))
			.toList();
		explained.forEach((loss) -> add(loss, nowMillis));
		return explained;
	}

	private static Optional<TaskLoss.State> explain(EndpointIncarnation lost, EndpointIncarnation seen, boolean heard) {
		if (lost.isSucceededBy(seen)) {
			return Optional.of(TaskLoss.State.CRASHED);
		}
		return (heard && lost.equals(seen)) ? Optional.of(TaskLoss.State.CLEARED) : Optional.empty();
	}

	Optional<TaskLosses> find(TaskId task) {
		return Optional.ofNullable(this.lossesByTask.get(task));
	}

	void forget(TaskId task) {
		TaskLosses losses = this.lossesByTask.remove(task);
		if (losses != null) {
			losses.all().forEach(this::removeUnexplained);
		}
	}

	/**
	 * Returns whether no loss is remembered.
	 * @return whether there is none
	 */
	public boolean isEmpty() {
		return this.lossesByTask.isEmpty();
	}

	/**
	 * Returns all losses, to tell them to another host.
	 * @return the losses, in the order of the first loss of each task
	 */
	public List<TaskLoss> all() {
		return this.lossesByTask.values().stream().flatMap((losses) -> losses.all().stream()).toList();
	}

}
