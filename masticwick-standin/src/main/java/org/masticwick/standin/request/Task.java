package org.masticwick.standin.request;

import java.util.HexFormat;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.masticwick.standin.connection.Json;

/**
 * Is a task that a worker has started and remembers until its lease lapses. Its fields
 * are guarded by the {@link TaskTable} that holds it.
 */
public final class Task {

	private final String taskId;

	private final String kind;

	private final byte[] digest;

	private final long startNanos;

	private final long leaseExpiryNanos;

	private long runNanos;

	private TaskState state = TaskState.RUNNING;

	private Consumer<Task> ended;

	private Future<?> timer;

	/**
	 * Creates a task that starts.
	 * @param request what to run
	 * @param nowNanos the time
	 * @param ended what to do when it ends
	 */
	public Task(TaskRequest request, long nowNanos, Consumer<Task> ended) {
		this.taskId = request.taskId();
		this.kind = request.kind();
		this.digest = request.digest();
		this.startNanos = nowNanos;
		this.leaseExpiryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.leaseMillis());
		this.ended = ended;
	}

	/**
	 * Returns the id.
	 * @return the task id
	 */
	public String taskId() {
		return this.taskId;
	}

	/**
	 * Returns how far the task is.
	 * @return the state
	 */
	public TaskState state() {
		return this.state;
	}

	/**
	 * Returns when the lease lapses.
	 * @return the time in nanoseconds
	 */
	public long leaseExpiryNanos() {
		return this.leaseExpiryNanos;
	}

	/**
	 * Returns how long the task ran.
	 * @return the time in milliseconds, 0 while it runs
	 */
	public long runMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.runNanos);
	}

	/**
	 * Returns the result.
	 * @return the JSON in UTF-8
	 */
	public byte[] resultJson() {
		return Json.write(new Result(this.taskId, this.kind, HexFormat.of().formatHex(this.digest)));
	}

	void setTimer(Future<?> timer) {
		this.timer = timer;
	}

	/**
	 * Ends the task; its timer and what it was to call are let go.
	 * @param endState the state from now on
	 * @param nowNanos the time
	 * @return what to do now that it has ended
	 */
	Consumer<Task> terminate(TaskState endState, long nowNanos) {
		this.runNanos = nowNanos - this.startNanos;
		this.state = endState;
		Consumer<Task> action = this.ended;
		this.ended = null;
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
		return action;
	}

	/**
	 * Is the result as the worker sends it.
	 *
	 * @param task the task id
	 * @param kind the kind of task
	 * @param digest the digest in hexadecimal
	 */
	private record Result(String task, String kind, String digest) {

	}

}
