package org.masticwick.fleet.version;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which records of the log were skipped and why, so that each is logged once
 * instead of with every read. Holds a limited number of keys; the ones that were skipped
 * first are forgotten.
 */
public final class SkippedRecords {

	private static final int MAX_KEY_COUNT = 512;

	/** Limits the length of log events, as other writers choose the keys. */
	private static final int MAX_KEY_CHARS = 120;

	private final Map<String, String> reasons = new LinkedHashMap<>();

	/**
	 * Records that a record was skipped.
	 * @param key the key of the record
	 * @param reason why it was skipped
	 * @return whether this is to be logged; {@code false} if the key was skipped for the
	 * same reason before
	 */
	public synchronized boolean add(String key, String reason) {
		String shortKey = shorten(key);
		boolean isNew = !reason.equals(this.reasons.put(shortKey, reason));
		if (this.reasons.size() > MAX_KEY_COUNT) {
			this.reasons.remove(this.reasons.keySet().iterator().next());
		}
		return isNew;
	}

	/**
	 * Records that the newest record of a key is valid or deleted.
	 * @param key the key
	 */
	public synchronized void remove(String key) {
		this.reasons.remove(shorten(key));
	}

	/**
	 * Shortens a key for log events.
	 * @param key the key
	 * @return the key, or its start if it is long
	 */
	public static String shorten(String key) {
		return (key.length() > MAX_KEY_CHARS) ? key.substring(0, MAX_KEY_CHARS) + "..." : key;
	}

}
