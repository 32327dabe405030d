package org.masticwick.fleet.connection;

/**
 * A record read from a compacted topic, which keeps the latest record of each key.
 *
 * @param offset the offset in the topic
 * @param key the key
 * @param value the value, or {@code null} if the key was deleted
 */
public record KeyedRecord(long offset, String key, byte[] value) {
}
