package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Tracks which terminations reported by an endpoint were processed, and up to which
 * number the endpoint may discard them. An endpoint keeps the termination of a durable
 * job until it is stored in the shared log.
 */
final class TerminationTracker {

	/**
	 * The limit of deferred terminations, well below the 500 that an endpoint lists at
	 * once.
	 */
	private static final int MAX_UNRESOLVED = 300;

	/**
	 * How long a termination may stay unresolved, in milliseconds; several times the
	 * usual length of a partition between failure domains.
	 */
	private static final long MAX_UNRESOLVED_MILLIS = 20_000;

	/**
	 * After this time, which another owner may take to store a termination, an unresolved
	 * one is forwarded to the other owners again, in milliseconds.
	 */
	private static final long FORWARD_RETRY_MILLIS = 500;

	/**
	 * Numbers of terminations without a known task, which may belong to a job that is
	 * still to be read from the shared log, with the time of their first report.
	 */
	private final Map<Long, Long> unresolvedSinceMillis = new HashMap<>();

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
		return number > this.highestNumber || this.unresolvedSinceMillis.containsKey(number);
	}

	void recordProcessed(long number) {
		this.highestNumber = Math.max(this.highestNumber, number);
		if (this.unresolvedSinceMillis.remove(number) != null) {
			this.unacknowledged.remove(number);
			this.lastForwardedMillis.remove(number);
		}
	}

	/**
	 * Returns whether a termination may stay unresolved. The endpoint lists a bounded
	 * number of terminations, so too many unresolved ones would hide new ones.
	 * @param number the number of the termination
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether it may stay unresolved
	 */
	boolean mayDefer(long number, long nowMillis) {
		Long sinceMillis = this.unresolvedSinceMillis.get(number);
		if (sinceMillis != null) {
			return nowMillis - sinceMillis < MAX_UNRESOLVED_MILLIS;
		}
		return this.unresolvedSinceMillis.size() < MAX_UNRESOLVED;
	}

	/**
	 * Records a termination whose task is unknown.
	 * @param number the number of the termination
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void recordUnresolved(long number, long nowMillis) {
		this.highestNumber = Math.max(this.highestNumber, number);
		this.unresolvedSinceMillis.putIfAbsent(number, nowMillis);
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
	 * Returns whether there are unresolved terminations, which may stay unresolved for
	 * long.
	 * @return whether there are any
	 */
	boolean hasUnresolved() {
		return !this.unresolvedSinceMillis.isEmpty();
	}

	/**
	 * Returns the number up to which the endpoint may discard terminations.
	 * @return the number of the termination, or 0
	 */
	long acknowledgedNumber() {
		return this.unacknowledged.isEmpty() ? this.highestNumber : this.unacknowledged.first() - 1;
	}

}
