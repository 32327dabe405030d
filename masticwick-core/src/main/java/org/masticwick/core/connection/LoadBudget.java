package org.masticwick.core.connection;

/**
 * Maximum numbers of load entries in one heartbeat, by type.
 *
 * @param serviceCount the maximum number of service entries
 * @param endpointCount the maximum number of endpoint entries
 * @param teamCount the maximum number of team entries
 */
public record LoadBudget(int serviceCount, int endpointCount, int teamCount) {

	private static final LoadBudget DEFAULTS = new LoadBudget(1, 5, 2);

	/**
	 * Returns the budget that keeps heartbeats within their byte limit at the target size
	 * of a site.
	 * @return the budget
	 */
	public static LoadBudget defaults() {
		return DEFAULTS;
	}

}
