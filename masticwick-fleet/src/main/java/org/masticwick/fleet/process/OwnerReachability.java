package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Tracks since when the owners of pools have been unreachable for this host.
 */
final class OwnerReachability {

	private final PoolDirectory directory;

	private final Map<String, Long> unreachableSinceMillis = new HashMap<>();

	private final Map<String, Long> reachableSinceMillis = new HashMap<>();

	OwnerReachability(PoolDirectory directory) {
		this.directory = directory;
	}

	/**
	 * Checks which pools have a reachable owner.
	 * @param pools the names of all pools
	 * @param nowMillis the time in milliseconds
	 */
	void tick(Collection<String> pools, long nowMillis) {
		pools.forEach((pool) -> {
			if (this.directory.isOwnerReachable(pool, nowMillis)) {
				this.unreachableSinceMillis.remove(pool);
				this.reachableSinceMillis.putIfAbsent(pool, nowMillis);
			}
			else {
				this.reachableSinceMillis.remove(pool);
				this.unreachableSinceMillis.putIfAbsent(pool, nowMillis);
			}
		});
	}

	/**
	 * Returns since when the owner of a pool has been unreachable, as of the last check.
	 * @param pool the name of the pool
	 * @return the time in milliseconds, or empty if it was reachable
	 */
	OptionalLong unreachableSinceMillis(String pool) {
		Long sinceMillis = this.unreachableSinceMillis.get(pool);
		return (sinceMillis != null) ? OptionalLong.of(sinceMillis) : OptionalLong.empty();
	}

	/**
	 * Returns since when a pool has had a reachable owner, as of the last check.
	 * @param pool the name of the pool
	 * @return the time in milliseconds, or {@link Long#MAX_VALUE} if it has none
	 */
	long reachableSinceMillis(String pool) {
		return this.reachableSinceMillis.getOrDefault(pool, Long.MAX_VALUE);
	}

	/**
	 * Returns for how long the owner of a pool has been unreachable.
	 * @param pool the name of the pool
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds, or 0 if it was reachable at the last check
	 */
	long unreachableMillis(String pool, long nowMillis) {
		return nowMillis - unreachableSinceMillis(pool).orElse(nowMillis);
	}

}
