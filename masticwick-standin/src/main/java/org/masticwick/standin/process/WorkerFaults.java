package org.masticwick.standin.process;

import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

import org.masticwick.standin.connection.HttpResponse;

/**
 * Holds the faults that one worker simulates, and decides for each task and response
 * whether a fault applies.
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
	 * Sets the faults of a request; fields that are {@code null} leave theirs unchanged.
	 * If both are set, {@code failFraction} overrides {@code failAll}.
	 * @param request the faults to set or clear
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
	 * Returns whether the worker is leaving and refuses new tasks.
	 * @return {@code true} if the worker is leaving
	 */
	boolean leaving() {
		return this.leaving;
	}

	/**
	 * Returns whether the worker refuses every new task as if no slot were free.
	 * @return {@code true} if every new task is refused
	 */
	boolean refuseAllFull() {
		return this.refuseAllFull;
	}

	/**
	 * Decides at random whether a task that is being started fails at once. The decisions
	 * depend only on the seed, 0 unless a request sets another, and the order of the
	 * starts.
	 * @return {@code true} if the task fails
	 */
	boolean drawTaskFailure() {
		return this.failFraction > 0 && this.random.nextDouble() < this.failFraction;
	}

	/**
	 * Multiplies a run time by the slow-down factor of the worker.
	 * @param runMillis the run time without faults, in milliseconds
	 * @return the run time on this worker, in milliseconds
	 */
	long slowedRunMillis(long runMillis) {
		return Math.round(runMillis * this.slowFactor);
	}

	/**
	 * Returns the delay between the termination of a task and the sending of its result.
	 * @return the delay in milliseconds, 0 for none
	 */
	long lateReplyMillis() {
		return this.lateReplyMillis;
	}

	/**
	 * Decides whether the next result is lost: the worker then closes the connection
	 * instead of responding. Consumes one of the counted losses.
	 * @return {@code true} if the result is lost
	 */
	boolean consumeResponseLoss() {
		return consume(this.loseReplies);
	}

	/**
	 * Applies the faults that are due to a response with a result: the id of another
	 * task, too few or too many bytes, two copies.
	 * @param response the correct response
	 * @return the response to send
	 */
	HttpResponse corrupt(HttpResponse response) {
		HttpResponse corrupted = response;
		if (consume(this.wrongTaskId)) {
			corrupted = corrupted.withHeader("Task-Id", "not-" + response.headers().get("Task-Id"));
		}
		if (consume(this.truncateReplies)) {
			corrupted = corrupted.truncated();
		}
		if (consume(this.overlongReplies)) {
			corrupted = corrupted.overlong();
		}
		return doubleIfDue(corrupted);
	}

	/**
	 * Doubles a response if that fault is due; consumes one of its counted occurrences.
	 * @param response the response
	 * @return the response to send
	 */
	HttpResponse doubleIfDue(HttpResponse response) {
		return consume(this.doubleReplies) ? response.doubled() : response;
	}

	private static boolean consume(AtomicReference<FaultCount> count) {
		return count.getAndUpdate(FaultCount::decremented).value() > 0;
	}

	private static <T> T orElse(T requested, T current) {
		return (requested != null) ? requested : current;
	}

}
