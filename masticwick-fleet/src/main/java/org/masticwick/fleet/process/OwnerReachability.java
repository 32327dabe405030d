package org.masticwick.fleet.process;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks since when the owners of pools have been unreachable for this host.
 */
final class OwnerReachability {

	private final PoolDirectory directory;

	private final Map<String, Long> unreachableSinceMillis = new HashMap<>();

	OwnerReachability(PoolDirectory directory) {
		this.directory = directory;
	}

	/**
	 * Checks which pools have a reachable owner.
	 * @param pools the names of all pools
	 * @param nowMillis the time in milliseconds
	 */
	void tick(Set<String> pools, long nowMillis) {
		pools.forEach((pool) -> {
			if (this.directory.isOwnerReachable(pool, nowMillis)) {
				this.unreachableSinceMillis.remove(pool);
			}
			else {
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
	 * Returns for how long the owner of a pool has been unreachable.
	 * @param pool the name of the pool
	 * @param nowMillis the time in milliseconds
	 * @return the time in milliseconds, or 0 if it was reachable at the last check
	 */
	long unreachableMillis(String pool, long nowMillis) {
		return nowMillis - unreachableSinceMillis(pool).orElse(nowMillis);
	}

}
