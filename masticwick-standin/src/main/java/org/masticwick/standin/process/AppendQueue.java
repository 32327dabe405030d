package org.masticwick.standin.process;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.TimeSource;
import org.masticwick.standin.connection.StandinException;

/**
 * Commits appends one after the other. Each takes the delay of a write that is synced to
 * disk, and at least the interval that the maximum rate allows.
 */
final class AppendQueue implements AutoCloseable {

	private static final int MAX_WAITING_COUNT = 4096;

	private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, (task) -> {
		Thread thread = new Thread(task, "append");
		thread.setDaemon(true);
		return thread;
	});

	private final Queue<Runnable> appends = new ConcurrentLinkedQueue<>();

	private final TimeSource time;

	private final long minIntervalNanos;

	private long delayNanos;

	private long busyUntilNanos;

	/**
	 * Creates an empty queue.
	 * @param time the clock
	 * @param delayMillis the duration of an append, in milliseconds
	 * @param maxPerSecond the maximum number of appends per second
	 */
	AppendQueue(TimeSource time, long delayMillis, int maxPerSecond) {
		this.time = time;
		this.minIntervalNanos = TimeUnit.SECONDS.toNanos(1) / maxPerSecond;
		this.busyUntilNanos = time.nanoTime();
		setDelay(delayMillis);
	}

	/**
	 * Changes the duration of the appends submitted from now on.
	 * @param delayMillis the duration of an append, in milliseconds
	 */
	synchronized void setDelay(long delayMillis) {
		this.delayNanos = TimeUnit.MILLISECONDS.toNanos(delayMillis);
	}

	/**
	 * Queues an append.
	 * @param append the action that commits the append, run once all appends before it
	 * and its own delay are over
	 * @throws StandinException if the queue is full
	 */
	synchronized void submit(Runnable append) {
		if (waitingCount() >= MAX_WAITING_COUNT) {
			throw new StandinException(ErrorCode.OVERLOADED,
					"The append queue of the platform stand-in is full; the append was not queued");
		}
		long now = this.time.nanoTime();
		this.busyUntilNanos = Math.max(now, this.busyUntilNanos) + Math.max(this.delayNanos, this.minIntervalNanos);
		this.appends.add(append);
		this.executor.schedule(this::commitNext, this.busyUntilNanos - now, TimeUnit.NANOSECONDS);
	}

	// The timers of two appends may fire in another order than they were set, if the
	// submission of the first was interrupted.
	private void commitNext() {
		Runnable append = this.appends.poll();
		if (append != null) {
			append.run();
		}
	}

	/**
	 * Returns the number of actions in the queue: the appends that wait and the timers of
	 * {@link #scheduler()} that have not fired, also if they were cancelled.
	 * @return the number of actions
	 */
	int waitingCount() {
		return this.executor.getQueue().size();
	}

	/**
	 * Returns the scheduler that commits the appends, for timers that belong to the log,
	 * such as the time limit of a waiting read. Its one thread must not be blocked.
	 * @return the scheduler
	 */
	ScheduledExecutorService scheduler() {
		return this.executor;
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
