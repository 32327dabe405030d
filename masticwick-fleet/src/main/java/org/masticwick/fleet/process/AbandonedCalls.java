package org.masticwick.fleet.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The calls whose jobs this host has given up without knowing that they have ended. Each
 * report lists them, so that an owner that still hears this host also learns that it has
 * to end these jobs before their callers submit them again.
 */
final class AbandonedCalls {

	/**
	 * How long a call is listed, in milliseconds. An owner that is paused or is taking
	 * over pools may receive the job of the call this much later.
	 */
	private static final long LISTED_MILLIS = 5_000;

	private final Map<Long, Long> abandonedMillisByNumber = new LinkedHashMap<>();

	/**
	 * Adds a call.
	 * @param callNumber the number of the call
	 * @param nowMillis the time in milliseconds
	 */
	void add(long callNumber, long nowMillis) {
		this.abandonedMillisByNumber.putIfAbsent(callNumber, nowMillis);
	}

	/**
	 * Removes a call whose job has ended, as its owner has confirmed.
	 * @param callNumber the number of the call
	 */
	void confirm(long callNumber) {
		this.abandonedMillisByNumber.remove(callNumber);
	}

	/**
	 * Returns the calls to list in a report.
	 * @param nowMillis the time in milliseconds
	 * @return their numbers
	 */
	List<Long> listed(long nowMillis) {
		this.abandonedMillisByNumber.values().removeIf((millis) -> nowMillis - millis > LISTED_MILLIS);
		return List.copyOf(this.abandonedMillisByNumber.keySet());
	}

}
