package org.masticwick.standin.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * The tasks that one worker runs or remembers. A running task holds a slot; a terminated
 * one is remembered until its lease expires, so that a repeated start request or a lookup
 * still finds it.
 */
public final class TaskTable {

	private final int slotCount;

	private final Map<String, Task> tasks = new HashMap<>();

	private final PriorityQueue<Task> tasksByLeaseExpiry = new PriorityQueue<>(
			Comparator.comparingLong(Task::leaseExpiryNanos));

	private int runningCount;

	/**
	 * Creates an empty table.
	 * @param slotCount the number of tasks that can run at once
	 */
	public TaskTable(int slotCount) {
		this.slotCount = slotCount;
	}

	/**
	 * Adds a task and takes a slot for it, if its id is new and a slot is free.
	 * @param task the task
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 * @return {@link StartOutcome#STARTED}, {@link StartOutcome#DUPLICATE} or
	 * {@link StartOutcome#FULL}
	 */
	public synchronized StartOutcome start(Task task, long nowNanos) {
		removeExpired(nowNanos);
		if (this.tasks.containsKey(task.taskId())) {
			return StartOutcome.DUPLICATE;
		}
		if (this.runningCount >= this.slotCount) {
			return StartOutcome.FULL;
		}
		this.tasks.put(task.taskId(), task);
		this.tasksByLeaseExpiry.add(task);
		this.runningCount++;
		return StartOutcome.STARTED;
	}

	/**
	 * Attaches the timer that terminates a task. If the task has terminated in the
	 * meantime, the timer is cancelled.
	 * @param task the task
	 * @param timer the timer
	 */
	public synchronized void attachTimer(Task task, Future<?> timer) {
		if (task.state() == TaskState.RUNNING) {
			task.setTimer(timer);
		}
		else {
			timer.cancel(false);
		}
	}

	/**
	 * Terminates a task if it is running: frees its slot, then runs its termination
	 * callback.
	 * @param task the task
	 * @param finalState the state of the task from now on
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 * @return {@code true} if this call terminated the task, {@code false} if it had
	 * terminated before
	 */
	public boolean terminate(Task task, TaskState finalState, long nowNanos) {
		Consumer<Task> onTermination;
		synchronized (this) {
			if (task.state() != TaskState.RUNNING) {
				return false;
			}
			this.runningCount--;
			onTermination = task.terminate(finalState, nowNanos);
		}
		onTermination.accept(task);
		return true;
	}

	/**
	 * Finds a task by its id.
	 * @param taskId the id of the task
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 * @return the task, or empty if it was never started or has terminated and its lease
	 * has expired
	 */
	public synchronized Optional<Task> find(String taskId, long nowNanos) {
		removeExpired(nowNanos);
		return Optional.ofNullable(this.tasks.get(taskId));
	}

	/**
	 * Returns whether a task is running or remembered.
	 * @param taskId the id of the task
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 * @return {@code true} if the table holds the task
	 */
	public boolean contains(String taskId, long nowNanos) {
		return find(taskId, nowNanos).isPresent();
	}

	/**
	 * Returns the number of running tasks.
	 * @return the number of slots in use
	 */
	public synchronized int runningCount() {
		return this.runningCount;
	}

	private void removeExpired(long nowNanos) {
		while (!this.tasksByLeaseExpiry.isEmpty() && this.tasksByLeaseExpiry.peek().state() != TaskState.RUNNING
				&& this.tasksByLeaseExpiry.peek().leaseExpiryNanos() - nowNanos <= 0) {
			this.tasks.remove(this.tasksByLeaseExpiry.poll().taskId());
		}
	}

}
