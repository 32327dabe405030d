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
final class TurnLoop {

	private final ScheduledExecutorService timer;

	private final TimeSource time;

	private final LongUnaryOperator turn;

	private final AtomicLong wakeNanos = new AtomicLong(SchedulingDecisions.NEVER);

	private final AtomicBoolean wanted = new AtomicBoolean();

	private final AtomicBoolean running = new AtomicBoolean();

	/**
	 * Creates a loop.
	 * @param timer wakes the loop
	 * @param time the clock
	 * @param turn takes a turn at a time on the monotonic clock and returns when the next
	 * one is due
	 */
	TurnLoop(ScheduledExecutorService timer, TimeSource time, LongUnaryOperator turn) {
		this.timer = timer;
		this.time = time;
		this.turn = turn;
	}

	/**
	 * Takes a turn, or leaves it to the thread that is taking one.
	 */
	void drive() {
		this.wanted.set(true);
		while (this.wanted.get() && this.running.compareAndSet(false, true)) {
			try {
				this.wanted.set(false);
				long now = this.time.nanoTime();
				wakeAt(this.turn.applyAsLong(now), now);
			}
			finally {
				this.running.set(false);
			}
		}
	}

	private void wakeAt(long nanos, long now) {
		if (nanos == SchedulingDecisions.NEVER) {
			return;
		}
		long planned = this.wakeNanos.get();
		if (planned != SchedulingDecisions.NEVER && planned - nanos <= 0 && planned - now > 0) {
			return;
		}
		this.wakeNanos.set(nanos);
		this.timer.schedule(this::drive, Math.max(nanos - now, 0), TimeUnit.NANOSECONDS);
	}

}
