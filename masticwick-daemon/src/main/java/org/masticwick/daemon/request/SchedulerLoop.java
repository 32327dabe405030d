package org.masticwick.daemon.request;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongUnaryOperator;

import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.SchedulingDecisions;

/**
 * Takes the turns of a scheduler, one thread at a time. A call that meets a running turn
 * asks it for one more, and a turn that names a time is followed by another one then.
 */
final class SchedulerLoop {

	private final ScheduledExecutorService timer;

	private final TimeSource time;

	private final LongUnaryOperator pass;

	private final AtomicLong nextPassNanos = new AtomicLong(SchedulingDecisions.NEVER);

	private final AtomicBoolean passRequested = new AtomicBoolean();

	private final AtomicBoolean passRunning = new AtomicBoolean();

	/**
	 * Creates a loop.
	 * @param timer wakes the loop
	 * @param time the clock
	 * @param pass takes a turn at a time on the monotonic clock and returns when the next
	 * one is due
	 */
	SchedulerLoop(ScheduledExecutorService timer, TimeSource time, LongUnaryOperator pass) {
		this.timer = timer;
		this.time = time;
		this.pass = pass;
	}

	/**
	 * Takes a turn, or leaves it to the thread that is taking one.
	 */
	void requestPass() {
		this.passRequested.set(true);
		while (this.passRequested.get() && this.passRunning.compareAndSet(false, true)) {
			try {
				this.passRequested.set(false);
				long nowNanos = this.time.nanoTime();
				schedulePassAt(this.pass.applyAsLong(nowNanos), nowNanos);
			}
			finally {
				this.passRunning.set(false);
			}
		}
	}

	private void schedulePassAt(long dueNanos, long nowNanos) {
		if (dueNanos == SchedulingDecisions.NEVER) {
			return;
		}
		long scheduledNanos = this.nextPassNanos.get();
		if (scheduledNanos != SchedulingDecisions.NEVER && scheduledNanos - dueNanos <= 0
				&& scheduledNanos - nowNanos > 0) {
			return;
		}
		this.nextPassNanos.set(dueNanos);
		this.timer.schedule(this::requestPass, Math.max(dueNanos - nowNanos, 0), TimeUnit.NANOSECONDS);
	}

}
