package org.masticwick.core.connection;

/**
 * The load of one service on an entry host, or in a failure domain.
 *
 * @param queuedCount the number of queued tasks
 * @param runningCount the number of tasks that are started and not terminated
 * @param slotCount the number of slots on the endpoints of the host's own failure domain
 * that accept work
 * @param waitMillis the expected queue wait of a new task, in milliseconds
 */
public record ServiceLoad(int queuedCount, int runningCount, int slotCount, long waitMillis) {

}
