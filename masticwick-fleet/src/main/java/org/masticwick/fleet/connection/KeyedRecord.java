package org.masticwick.fleet.connection;

/**
 * A record of a topic that keeps the newest of each key.
 *
 * @param offset the place in the topic
 * @param key the key
 * @param value the value, or {@code null} if the key was deleted
 */
public record KeyedRecord(long offset, String key, byte[] value) {
}
