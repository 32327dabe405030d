package org.masticwick.core.pool;

/**
 * The report of an owner on its pool.
 *
 * @param pool the name of the pool
 * @param fencingToken the fencing token that the owner uses in requests to endpoints
 * @param load the load of the pool
 */
public record PoolReport(String pool, long fencingToken, PoolLoad load) {
}
