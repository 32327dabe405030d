package org.masticwick.fleet.connection;

import java.util.List;

/**
 * A page of records read from a topic of the log.
 *
 * @param records the records
 * @param nextOffset the offset to continue reading from
 * @param continuationKey when reading the latest record of each key, the key after which
 * the next page begins, or {@code null} if this is the last page
 */
public record LogPage(List<KeyedRecord> records, long nextOffset, String continuationKey) {
}
