package org.masticwick.standin.request;

import java.util.HexFormat;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.masticwick.standin.connection.Json;

/**
 * A task that a worker started and remembers until the lease expires. Its fields are
 * written only under the lock of the {@link TaskTable} that holds it.
 */
public final class Task {

	private final String taskId;

	private final String kind;

	private final byte[] digest;

	private final long startNanos;

	private final long leaseExpiryNanos;

	private long runNanos;

	private TaskState state = TaskState.RUNNING;

	private Consumer<Task> onTermination;

	private Future<?> timer;

	/**
	 * Creates a running task.
	 * @param request the request to start the task
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 * @param onTermination the callback to run once the task has terminated
	 */
	public Task(TaskRequest request, long nowNanos, Consumer<Task> onTermination) {
		this.taskId = request.taskId();
		this.kind = request.kind();
		this.digest = request.digest();
		this.startNanos = nowNanos;
		this.leaseExpiryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(request.leaseMillis());
		this.onTermination = onTermination;
	}

	/**
	 * Returns the id of the task.
	 * @return the id from the path of the start request
	 */
	public String taskId() {
		return this.taskId;
	}

	/**
	 * Returns the state of the task.
	 * @return the state
	 */
	public TaskState state() {
		return this.state;
	}

	/**
	 * Returns when the lease expires.
	 * @return the time of the monotonic clock, in nanoseconds
	 */
	public long leaseExpiryNanos() {
		return this.leaseExpiryNanos;
	}

	/**
	 * Returns how long the task ran until it terminated.
	 * @return the run time in milliseconds, 0 while the task is running
	 */
	public long runMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.runNanos);
	}

	/**
	 * Returns the result as the body of a response.
	 * @return the JSON in UTF-8
	 */
	public byte[] resultJson() {
		return Json.write(new Result(this.taskId, this.kind, HexFormat.of().formatHex(this.digest)));
	}

	void setTimer(Future<?> timer) {
		this.timer = timer;
	}

	/**
	 * Terminates the task, cancels its timer and clears the references to the timer and
	 * the callback, so that a remembered task does not retain its request.
	 * @param finalState the state of the task from now on
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 * @return the termination callback, for the caller to run outside its lock
	 */
	Consumer<Task> terminate(TaskState finalState, long nowNanos) {
		this.runNanos = nowNanos - this.startNanos;
		this.state = finalState;
		Consumer<Task> callback = this.onTermination;
		this.onTermination = null;
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
		return callback;
	}

	/**
	 * Result of a task, as sent to the dispatcher.
	 *
	 * @param task the id of the task
	 * @param kind the kind of the task
	 * @param digest the digest of kind and payload, in hexadecimal
	 */
	private record Result(String task, String kind, String digest) {

	}

}
