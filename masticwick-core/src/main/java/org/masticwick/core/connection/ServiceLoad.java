package org.masticwick.core.connection;

/**
 * Tells how busy an entry host is with one service.
 *
 * @param queuedCount tasks that wait in the queue of the entry host
 * @param runningCount tasks that the entry host has started and that have not ended
 * @param slotCount slots that the entry host counts on
 * @param waitMillis how long a task that comes now is likely to wait, in milliseconds
 */
public record ServiceLoad(int queuedCount, int runningCount, int slotCount, long waitMillis) {
}
