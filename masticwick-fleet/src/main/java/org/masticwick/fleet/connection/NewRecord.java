package org.masticwick.fleet.connection;

/**
 * A record to append to a compacted topic, which keeps the latest record of each key.
 *
 * @param key the key
 * @param value the value; an empty one deletes the key
 */
public record NewRecord(String key, byte[] value) {

	private static final byte[] EMPTY_VALUE = {};

	/**
	 * Creates a record that deletes a key (a tombstone).
	 * @param key the key
	 * @return the record
	 */
	public static NewRecord deletion(String key) {
		return new NewRecord(key, EMPTY_VALUE);
	}

}
