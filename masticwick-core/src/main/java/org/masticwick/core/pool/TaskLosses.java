package org.masticwick.core.pool;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The losses of endpoints under one task, and what they mean for its next start.
 */
final class TaskLosses {

	/**
	 * How many endpoints must have crashed before a task is given up, if it was alone on
	 * one of them.
	 */
	private static final int MAX_CRASHES = 2;

	/**
	 * How many endpoints may be lost at all, with other runs on them or not heard since.
	 */
	private static final int MAX_LOSSES = 4;

	/** From this loss on a task waits until the losses are explained. */
	private static final int MIN_LOSSES_TO_WAIT = 2;

	/**
	 * How long a task waits for that, in milliseconds. A crashed endpoint is back, and in
	 * the endpoint list, within a few seconds.
	 */
	private static final long MAX_WAIT_MILLIS = 4_000;

	private final Map<Key, TaskLoss> losses = new LinkedHashMap<>();

	private long changedMillis;

	/**
	 * Adds a loss, or replaces its state by a later one.
	 * @param loss the loss
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether anything changed
	 */
	boolean add(TaskLoss loss, long nowMillis) {
		Key key = new Key(loss.run().number(), loss.endpoint());
		TaskLoss known = this.losses.get(key);
		if (known != null && known.state().compareTo(loss.state()) >= 0) {
			return false;
		}
		this.losses.put(key, loss);
		this.changedMillis = nowMillis;
		return true;
	}

	long changedMillis() {
		return this.changedMillis;
	}

	List<TaskLoss> all() {
		return List.copyOf(this.losses.values());
	}

	boolean hasUnexplained() {
		return count(TaskLoss.State.UNEXPLAINED) > 0;
	}

	int count(TaskLoss.State state) {
		return (int) this.losses.values().stream().filter((loss) -> loss.state() == state).count();
	}

	private int count() {
		return count(TaskLoss.State.CRASHED) + count(TaskLoss.State.UNEXPLAINED);
	}

	private boolean hasAttributableCrash() {
		return this.losses.values()
			.stream()
			.anyMatch((loss) -> loss.state() == TaskLoss.State.CRASHED && loss.attributable());
	}

	/**
	 * Decides whether the task may be started again.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the decision
	 */
	RestartVerdict verdict(long nowMillis) {
		if (count() >= MAX_LOSSES || count(TaskLoss.State.CRASHED) >= MAX_CRASHES && hasAttributableCrash()) {
			return RestartVerdict.GIVE_UP;
		}
		boolean waiting = count() >= MIN_LOSSES_TO_WAIT && hasUnexplained()
				&& nowMillis - this.changedMillis < MAX_WAIT_MILLIS;
		return waiting ? RestartVerdict.WAIT : RestartVerdict.START;
	}

	/**
	 * Returns how far the task is kept apart from others.
	 * @return the isolation of its next run
	 */
	Isolation isolation() {
		int count = count();
		if (count == 0) {
			return Isolation.NONE;
		}
		return (count < MAX_CRASHES) ? Isolation.PREFERRED : Isolation.REQUIRED;
	}

	private record Key(int runNumber, EndpointIncarnation endpoint) {
	}

}
