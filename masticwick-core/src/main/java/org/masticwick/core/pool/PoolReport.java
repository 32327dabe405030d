package org.masticwick.core.pool;

/**
 * What the owner of a pool tells of it.
 *
 * @param pool the name of the pool
 * @param fencingToken the token that the owner orders endpoints with
 * @param load the load
 */
public record PoolReport(String pool, long fencingToken, PoolLoad load) {
}
