package org.masticwick.daemon.request;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongUnaryOperator;

import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.SchedulingDecisions;

/**
 * Runs the passes of a scheduler, one at a time. A request that arrives while another
 * thread runs a pass makes that thread run one more. If a pass returns the time at which
 * the next one is due, a pass is scheduled for that time.
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
	 * @param timer runs the passes that are due later
	 * @param time the clock
	 * @param pass runs a pass; its argument is the current time and its result the time
	 * of the next pass, both in nanoseconds on the monotonic clock;
	 * {@link SchedulingDecisions#NEVER} if no pass is due
	 */
	SchedulerLoop(ScheduledExecutorService timer, TimeSource time, LongUnaryOperator pass) {
		this.timer = timer;
		this.time = time;
		this.pass = pass;
	}

	/**
	 * Runs a pass, or makes the thread that is running one run another.
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
