package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tracks which terminations reported by an endpoint were processed, and up to which
 * number the endpoint may discard them. An endpoint keeps the termination of a durable
 * job until it is stored in the shared log.
 */
final class TerminationTracker {

	/**
	 * The number of terminations that the endpoint has to keep from which on it gets no
	 * tasks: it lists 500 at once, so that the ends of new runs might not be among them.
	 */
	private static final int MAX_UNACKNOWLEDGED = 400;

	/**
	 * After this time, which another owner may take to store a termination, an unresolved
	 * one is forwarded to the other owners again, in milliseconds.
	 */
	private static final long FORWARD_RETRY_MILLIS = 500;

	/**
	 * Numbers of terminations without a known task, which may belong to a job that is
	 * still to be read from the shared log. They stay unresolved, and the endpoint keeps
	 * them, until an owner of the job has recorded them.
	 */
	private final Set<Long> unresolved = new HashSet<>();

	/** Numbers of terminations that the endpoint has to keep. */
	private final TreeSet<Long> unacknowledged = new TreeSet<>();

	/** When an unresolved termination was last forwarded to the other owners. */
	private final Map<Long, Long> lastForwardedMillis = new HashMap<>();

	private long highestNumber;

	/**
	 * Returns whether a termination is still to be processed.
	 * @param number the number of the termination
	 * @return whether it is new or was unresolved so far
	 */
	boolean isUnprocessed(long number) {
		return number > this.highestNumber || this.unresolved.contains(number);
	}

	void recordProcessed(long number) {
		this.highestNumber = Math.max(this.highestNumber, number);
		if (this.unresolved.remove(number)) {
			this.unacknowledged.remove(number);
			this.lastForwardedMillis.remove(number);
		}
	}

	/**
	 * Records a termination whose task is unknown.
	 * @param number the number of the termination
	 */
	void recordUnresolved(long number) {
		this.highestNumber = Math.max(this.highestNumber, number);
		this.unresolved.add(number);
		this.unacknowledged.add(number);
	}

	/**
	 * Returns whether to forward an unresolved termination to the other owners now, and
	 * if so records the time.
	 * @param number the number of the termination
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether it was not forwarded within the retry interval
	 */
	boolean shouldForward(long number, long nowMillis) {
		Long forwardedMillis = this.lastForwardedMillis.get(number);
		if (forwardedMillis != null && nowMillis - forwardedMillis < FORWARD_RETRY_MILLIS) {
			return false;
		}
		this.lastForwardedMillis.put(number, nowMillis);
		return true;
	}

	/**
	 * Records a processed termination that the endpoint has to keep until it is stored.
	 * @param number the number of the termination
	 */
	void recordUnstored(long number) {
		recordProcessed(number);
		this.unacknowledged.add(number);
	}

	void recordStored(long number) {
		this.unacknowledged.remove(number);
	}

	/**
	 * Returns whether the endpoint has to keep terminations that were already reported.
	 * @return whether it would return them at once when asked
	 */
	boolean hasUnacknowledged() {
		return !this.unacknowledged.isEmpty();
	}

	/**
	 * Returns whether the endpoint keeps so many terminations that it may not list that
	 * of a new run.
	 * @return whether it must not get tasks
	 */
	boolean isFull() {
		return this.unacknowledged.size() >= MAX_UNACKNOWLEDGED;
	}

	/**
	 * Returns whether there are unresolved terminations, which may stay unresolved for
	 * long.
	 * @return whether there are any
	 */
	boolean hasUnresolved() {
		return !this.unresolved.isEmpty();
	}

	/**
	 * Returns the number up to which the endpoint may discard terminations.
	 * @return the number of the termination, or 0
	 */
	long acknowledgedNumber() {
		return this.unacknowledged.isEmpty() ? this.highestNumber : this.unacknowledged.first() - 1;
	}

}
