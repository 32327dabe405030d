package org.masticwick.fleet.process;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.masticwick.core.pool.PoolLoad;
import org.masticwick.core.pool.PoolReport;

/**
 * The pools of an owner with its claims, and whether the owner may send commands to their
 * endpoints.
 */
final class OwnedPools {

	/**
	 * How many command tokens belong to a claim. Tokens must stay below 2 to the power of
	 * 53, which leaves 2 to the power of 33 for those of claims.
	 */
	private static final long COMMANDS_PER_CLAIM = 1L << 20;

	private final Map<String, PoolClaim> claims = new TreeMap<>();

	private boolean frozen;

	void add(PoolClaim claim) {
		this.claims.put(claim.pool(), claim);
	}

	void remove(String pool) {
		this.claims.remove(pool);
	}

	boolean contains(String pool) {
		return this.claims.containsKey(pool);
	}

	/**
	 * Returns the names of the pools.
	 * @return a copy of the names, in their order
	 */
	Set<String> names() {
		return Collections.unmodifiableSet(new TreeSet<>(this.claims.keySet()));
	}

	Stream<String> inNameOrder() {
		return this.claims.keySet().stream();
	}

	int count() {
		return this.claims.size();
	}

	/**
	 * Returns the fencing token of the claim of a pool.
	 * @param pool the name of the pool
	 * @return the token, or 0 if this host does not own the pool
	 */
	long token(String pool) {
		PoolClaim claim = this.claims.get(pool);
		return (claim != null) ? claim.fencingToken() : 0;
	}

	/**
	 * Returns the fencing token for a command to an endpoint of a pool. It rises with the
	 * number of the command, so that the endpoint refuses a start that remained
	 * unanswered, and stays below that of the next claim.
	 * @param pool the name of the pool
	 * @param commandCount the number of the command
	 * @return the token, or 0 if this host does not own the pool
	 */
	long commandToken(String pool, long commandCount) {
		return token(pool) * COMMANDS_PER_CLAIM + Math.min(commandCount, COMMANDS_PER_CLAIM - 1);
	}

	List<PoolReport> reports(PoolLoad load) {
		return this.claims.values()
			.stream()
			.map((claim) -> new PoolReport(claim.pool(), claim.fencingToken(), load))
			.toList();
	}

	/**
	 * Returns whether no command may be sent, because the pools are being handed over or
	 * the owner has stopped.
	 * @return whether commands are withheld and answers to them ignored
	 */
	boolean isFrozen() {
		return this.frozen;
	}

	void setFrozen(boolean isFrozen) {
		this.frozen = isFrozen;
	}

}
