package org.masticwick.fleet.connection;

import java.util.List;

/**
 * Part of a topic.
 *
 * @param records the records
 * @param nextOffset where to read on
 * @param continuationKey the key after which more records stand, or {@code null} if these
 * are all
 */
public record LogPage(List<KeyedRecord> records, long nextOffset, String continuationKey) {
}
