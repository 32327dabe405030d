package org.masticwick.standin.process;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.TimeSource;
import org.masticwick.standin.connection.StandinException;

/**
 * Lets appends take effect one after the other, each after the delay of a synced write.
 */
final class AppendQueue implements AutoCloseable {

	private static final int MAX_WAITING_COUNT = 4096;

	private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, (task) -> {
		Thread thread = new Thread(task, "append");
		thread.setDaemon(true);
		return thread;
	});

	private final TimeSource time;

	private final long minIntervalNanos;

	private long delayNanos;

	private long freeAtNanos;

	/**
	 * Creates an empty queue.
	 * @param time the clock
	 * @param delayMillis how long an append takes, in milliseconds
	 * @param maxPerSecond how many appends a second there are at most
	 */
	AppendQueue(TimeSource time, long delayMillis, int maxPerSecond) {
		this.time = time;
		this.minIntervalNanos = TimeUnit.SECONDS.toNanos(1) / maxPerSecond;
		this.freeAtNanos = time.nanoTime();
		setDelay(delayMillis);
	}

	/**
	 * Changes the delay for the appends to come.
	 * @param delayMillis how long an append takes, in milliseconds
	 */
	synchronized void setDelay(long delayMillis) {
		this.delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMillis);
	}

	/**
	 * Queues an append.
	 * @param append what takes effect when its turn is over
	 * @throws StandinException if too many appends wait
	 */
	synchronized void submit(Runnable append) {
		if (waitingCount() >= MAX_WAITING_COUNT) {
			throw new StandinException(ErrorCode.OVERLOADED, "Too many appends wait");
		}
		long now = this.time.nanoTime();
		this.freeAtNanos = Math.max(now, this.freeAtNanos) + Math.max(this.delayNanos, this.minIntervalNanos);
		this.executor.schedule(append, this.freeAtNanos - now, TimeUnit.NANOSECONDS);
	}

	/**
	 * Returns how many appends wait.
	 * @return the count
	 */
	int waitingCount() {
		return this.executor.getQueue().size();
	}

	/**
	 * Returns the executor for timers that go with the queue.
	 * @return the executor
	 */
	ScheduledExecutorService scheduler() {
		return this.executor;
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
