package org.masticwick.core.request.internal;

/**
 * Ranks the teams that have work.
 */
@FunctionalInterface
interface TeamOrder {

	/** The least slot time by share goes first. */
	TeamOrder SLOT_TIME = TeamAccount::weightedSlotTimeNanos;

	/** The fewest running tasks by share go first. */
	TeamOrder LEAST_RUNNING = (account) -> (account.runningCount() + account.peerRunningCount()) / account.share();

	/**
	 * Returns the rank of a team.
	 * @param account the work of the team
	 * @return the rank; least goes first
	 */
	double rank(TeamAccount account);

	/**
	 * Returns the order of a name.
	 * @param name the value of the rule
	 * @return the order; by slot time for an unknown name
	 */
	static TeamOrder of(String name) {
		return "least-running".equals(name) ? LEAST_RUNNING : SLOT_TIME;
	}

}
