package org.masticwick.core.pool;

/**
 * How much a pool has to do.
 *
 * @param totalMillicores the processors of its endpoints in thousandths of a core
 * @param freeMillicores how much of them is free
 * @param backlogMillis how long what waits takes, in milliseconds
 * @param jobCount the number of jobs that are not answered yet
 */
public record PoolLoad(long totalMillicores, long freeMillicores, double backlogMillis, int jobCount) {
}
