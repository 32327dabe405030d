package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Tells which ends of an endpoint were taken in, and up to which one it may forget them:
 * an end of a durable job is kept until the shared log has it.
 */
final class TerminationTracker {

	/** Well under the 500 ends that an endpoint lists at once. */
	private static final int MAX_UNRESOLVED = 300;

	/** Some times as long as failure domains are usually cut off, in milliseconds. */
	private static final long MAX_UNRESOLVED_MILLIS = 20_000;

	/** How long another owner may take to write an end, in milliseconds. */
	private static final long REPORT_RETRY_MILLIS = 500;

	/** Ends that belong to no known task, but may belong to a job that is still read. */
	private final Map<Long, Long> unresolvedSinceMillis = new HashMap<>();

	/** Ends that the endpoint has to keep. */
	private final TreeSet<Long> unacknowledged = new TreeSet<>();

	private final Map<Long, Long> lastReportedMillis = new HashMap<>();

	private long highestNumber;

	/**
	 * Returns whether an end was not taken in yet.
	 * @param number the number of the end
	 * @return whether it is new, or could not be told before
	 */
	boolean isUnprocessed(long number) {
		return number > this.highestNumber || this.unresolvedSinceMillis.containsKey(number);
	}

	void recordProcessed(long number) {
		this.highestNumber = Math.max(this.highestNumber, number);
		if (this.unresolvedSinceMillis.remove(number) != null) {
			this.unacknowledged.remove(number);
			this.lastReportedMillis.remove(number);
		}
	}

	/**
	 * Returns whether the endpoint may keep an end that can't be told yet. It lists a
	 * bounded number, so that new ones would not be seen any more.
	 * @param number the number of the end
	 * @param nowMillis the time in milliseconds
	 * @return whether it may
	 */
	boolean mayDefer(long number, long nowMillis) {
		Long sinceMillis = this.unresolvedSinceMillis.get(number);
		if (sinceMillis != null) {
			return nowMillis - sinceMillis < MAX_UNRESOLVED_MILLIS;
		}
		return this.unresolvedSinceMillis.size() < MAX_UNRESOLVED;
	}

	/**
	 * Takes in an end whose task is not known yet.
	 * @param number the number of the end
	 * @param nowMillis the time in milliseconds
	 */
	void recordUnresolved(long number, long nowMillis) {
		this.highestNumber = Math.max(this.highestNumber, number);
		this.unresolvedSinceMillis.putIfAbsent(number, nowMillis);
		this.unacknowledged.add(number);
	}

	/**
	 * Returns whether another owner should be told of an end that can't be told here.
	 * @param number the number of the end
	 * @param nowMillis the time in milliseconds
	 * @return whether that was not done just before
	 */
	boolean shouldReport(long number, long nowMillis) {
		Long reportedMillis = this.lastReportedMillis.get(number);
		if (reportedMillis != null && nowMillis - reportedMillis < REPORT_RETRY_MILLIS) {
			return false;
		}
		this.lastReportedMillis.put(number, nowMillis);
		return true;
	}

	/**
	 * Takes in an end that the endpoint has to keep until it is stored.
	 * @param number the number of the end
	 */
	void recordUnstored(long number) {
		recordProcessed(number);
		this.unacknowledged.add(number);
	}

	void recordStored(long number) {
		this.unacknowledged.remove(number);
	}

	/**
	 * Returns whether the endpoint keeps ends that were taken in.
	 * @return whether it would list them at once when asked
	 */
	boolean hasUnacknowledged() {
		return !this.unacknowledged.isEmpty();
	}

	/**
	 * Returns whether the endpoint keeps ends that can't be told yet, which may take
	 * long.
	 * @return whether it does
	 */
	boolean hasUnresolved() {
		return !this.unresolvedSinceMillis.isEmpty();
	}

	/**
	 * Returns up to which end the endpoint may forget its list.
	 * @return the number of the end, or 0
	 */
	long acknowledgedNumber() {
		return this.unacknowledged.isEmpty() ? this.highestNumber : this.unacknowledged.first() - 1;
	}

}
