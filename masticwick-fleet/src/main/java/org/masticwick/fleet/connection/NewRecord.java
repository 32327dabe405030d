package org.masticwick.fleet.connection;

/**
 * A record that is about to be appended to a topic that keeps the newest of each key.
 *
 * @param key the key
 * @param value the value; an empty one deletes the key
 */
public record NewRecord(String key, byte[] value) {

	private static final byte[] NOTHING = {};

	/**
	 * Creates a record that deletes a key.
	 * @param key the key
	 * @return the record
	 */
	public static NewRecord deletion(String key) {
		return new NewRecord(key, NOTHING);
	}

}
