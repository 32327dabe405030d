package org.masticwick.standin.process;

import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

import org.masticwick.standin.connection.HttpResponse;

/**
 * Holds the faults of one worker.
 */
final class WorkerFaults {

	private final AtomicReference<FaultCount> truncateReplies = new AtomicReference<>(FaultCount.NONE);

	private final AtomicReference<FaultCount> overlongReplies = new AtomicReference<>(FaultCount.NONE);

	private final AtomicReference<FaultCount> loseReplies = new AtomicReference<>(FaultCount.NONE);

	private final AtomicReference<FaultCount> doubleReplies = new AtomicReference<>(FaultCount.NONE);

	private final AtomicReference<FaultCount> wrongTaskId = new AtomicReference<>(FaultCount.NONE);

	private final Random random = new Random(0);

	private volatile double failFraction;

	private volatile double slowFactor = 1;

	private volatile boolean leaving;

	private volatile boolean refuseAllFull;

	private volatile long lateReplyMillis;

	/**
	 * Takes over what a request changes.
	 * @param request the request
	 */
	void update(WorkerFaultRequest request) {
		if (request.seed() != null) {
			this.random.setSeed(request.seed());
		}
		if (request.failAll() != null) {
			this.failFraction = (request.failAll()) ? 1 : 0;
		}
		this.failFraction = orElse(request.failFraction(), this.failFraction);
		this.slowFactor = orElse(request.slowFactor(), this.slowFactor);
		this.leaving = orElse(request.leaving(), this.leaving);
		this.refuseAllFull = orElse(request.refuseAllFull(), this.refuseAllFull);
		this.lateReplyMillis = orElse(request.lateReplyMs(), this.lateReplyMillis);
		this.truncateReplies.updateAndGet((count) -> orElse(request.truncateReplies(), count));
		this.overlongReplies.updateAndGet((count) -> orElse(request.overlongReplies(), count));
		this.loseReplies.updateAndGet((count) -> orElse(request.loseReplies(), count));
		this.doubleReplies.updateAndGet((count) -> orElse(request.doubleReplies(), count));
		this.wrongTaskId.updateAndGet((count) -> orElse(request.wrongTaskId(), count));
	}

	/**
	 * Tells whether the worker is leaving.
	 * @return {@code true} if it is
	 */
	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Tells whether every new task is refused as if no slot were free.
	 * @return {@code true} if so
	 */
	boolean refuseAllFull() {
		return this.refuseAllFull;
	}

	/**
	 * Draws whether a task that starts now fails at once.
	 * @return {@code true} if it does
	 */
	boolean drawFailure() {
		return this.failFraction > 0 && this.random.nextDouble() < this.failFraction;
	}

	/**
	 * Returns how long a task runs here.
	 * @param runMillis how long it would run, in milliseconds
	 * @return the run time in milliseconds
	 */
	long slowedRunMillis(long runMillis) {
		return Math.round(runMillis * this.slowFactor);
	}

	/**
	 * Returns how late results are sent.
	 * @return the delay in milliseconds
	 */
	long lateReplyMillis() {
		return this.lateReplyMillis;
	}

	/**
	 * Draws whether the next result is lost.
	 * @return {@code true} if it is
	 */
	boolean drawResponseLoss() {
		return draw(this.loseReplies);
	}

	/**
	 * Spoils a result as the faults say.
	 * @param answer the right answer
	 * @return the answer to send
	 */
	HttpResponse corrupt(HttpResponse answer) {
		HttpResponse spoilt = answer;
		if (draw(this.wrongTaskId)) {
			spoilt = spoilt.withHeader("Task-Id", "not-" + answer.headers().get("Task-Id"));
		}
		if (draw(this.truncateReplies)) {
			spoilt = spoilt.truncated();
		}
		if (draw(this.overlongReplies)) {
			spoilt = spoilt.overlong();
		}
		return doubleIfDue(spoilt);
	}

	/**
	 * Doubles an answer if the faults say so.
	 * @param answer the answer
	 * @return the answer to send
	 */
	HttpResponse doubleIfDue(HttpResponse answer) {
		return draw(this.doubleReplies) ? answer.doubled() : answer;
	}

	private static boolean draw(AtomicReference<FaultCount> count) {
		return count.getAndUpdate(FaultCount::decremented).value() > 0;
	}

	private static <T> T orElse(T value, T current) {
		return (value != null) ? value : current;
	}

}
