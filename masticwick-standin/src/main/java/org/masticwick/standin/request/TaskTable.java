package org.masticwick.standin.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Keeps the tasks of one worker and counts its slots exactly.
 */
public final class TaskTable {

	private final int slotCount;

	private final Map<String, Task> tasks = new HashMap<>();

	private final PriorityQueue<Task> byLeaseEnd = new PriorityQueue<>(
			Comparator.comparingLong(Task::leaseExpiryNanos));

	private int runningCount;

	/**
	 * Creates an empty table.
	 * @param slotCount how many tasks run at once
	 */
	public TaskTable(int slotCount) {
		this.slotCount = slotCount;
	}

	/**
	 * Starts a task if it is new and a slot is free.
	 * @param task the task
	 * @param nowNanos the time
	 * @return whether it is started
	 */
	public synchronized StartOutcome start(Task task, long nowNanos) {
		forgetLapsed(nowNanos);
		if (this.tasks.containsKey(task.taskId())) {
			return StartOutcome.DUPLICATE;
		}
		if (this.runningCount >= this.slotCount) {
			return StartOutcome.FULL;
		}
		this.tasks.put(task.taskId(), task);
		this.byLeaseEnd.add(task);
		this.runningCount++;
		return StartOutcome.STARTED;
	}

	/**
	 * Gives a running task the timer that ends it.
	 * @param task the task
	 * @param timer the timer, cancelled if the task has ended already
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
	 * Ends a task if it still runs, and frees its slot.
	 * @param task the task
	 * @param endState the state from now on
	 * @param nowNanos the time
	 * @return whether this call ended it
	 */
	public boolean terminate(Task task, TaskState endState, long nowNanos) {
		Consumer<Task> action;
		synchronized (this) {
			if (task.state() != TaskState.RUNNING) {
				return false;
			}
			this.runningCount--;
			action = task.terminate(endState, nowNanos);
		}
		action.accept(task);
		return true;
	}

	/**
	 * Looks a task up.
	 * @param taskId the id
	 * @param nowNanos the time
	 * @return the task, if its lease has not lapsed
	 */
	public synchronized Optional<Task> find(String taskId, long nowNanos) {
		forgetLapsed(nowNanos);
		return Optional.ofNullable(this.tasks.get(taskId));
	}

	/**
	 * Tells whether a task was started and its lease has not lapsed.
	 * @param taskId the id
	 * @param nowNanos the time
	 * @return {@code true} if so
	 */
	public boolean contains(String taskId, long nowNanos) {
		return find(taskId, nowNanos).isPresent();
	}

	/**
	 * Returns how many tasks run.
	 * @return the count
	 */
	public synchronized int runningCount() {
		return this.runningCount;
	}

	private void forgetLapsed(long nowNanos) {
		while (!this.byLeaseEnd.isEmpty() && this.byLeaseEnd.peek().state() != TaskState.RUNNING
				&& this.byLeaseEnd.peek().leaseExpiryNanos() - nowNanos <= 0) {
			this.tasks.remove(this.byLeaseEnd.poll().taskId());
		}
	}

}
