package org.masticwick.core.connection;

/**
 * Tells how much work of one service an entry host holds.
 *
 * @param queuedCount how many tasks wait
 * @param runningCount how many tasks are started and have not ended
 * @param slotCount how many slots the endpoints of the host's own domain have that take
 * work
 * @param waitMillis how long a new task is expected to wait, in milliseconds
 */
public record ServiceLoad(int queuedCount, int runningCount, int slotCount, long waitMillis) {

}
