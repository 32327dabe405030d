package org.masticwick.core.pool;

/**
 * The load of a pool.
 *
 * @param totalMillicores the processor capacity of its endpoints in thousandths of a core
 * @param freeMillicores the free part of the capacity in thousandths of a core
 * @param backlogMillis how long the pool needs for all waiting jobs, in milliseconds
 * @param jobCount the number of jobs that are not answered yet
 */
public record PoolLoad(long totalMillicores, long freeMillicores, double backlogMillis, int jobCount) {
}
