package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Ranks the teams with queued tasks.
 */
@FunctionalInterface
interface TeamOrder {

	/** The names of the orders, sorted. */
	List<String> NAMES = List.of("least-running", "slot-time");

	/** Ranks teams by their slot time divided by their share. */
	TeamOrder SLOT_TIME = TeamAccount::weightedSlotTimeNanos;

	/**
	 * Ranks teams by the number of their running tasks, on this host and peers, divided
	 * by their share.
	 */
	TeamOrder LEAST_RUNNING = (account) -> (account.runningCount() + account.peerRunningCount()) / account.share();

	/**
	 * Returns the rank of a team.
	 * @param account the account of the team
	 * @return the rank; the team with the lowest rank goes first
	 */
	double rank(TeamAccount account);

	/**
	 * Returns the order with a name.
	 * @param name the value of the rule
	 * @return the order; {@link #SLOT_TIME} for an unknown name
	 */
	static TeamOrder of(String name) {
		return "least-running".equals(name) ? LEAST_RUNNING : SLOT_TIME;
	}

}
