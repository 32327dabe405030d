package org.masticwick.core.connection;

/**
 * Bounds how many entries of a load report go into one heartbeat.
 *
 * @param serviceCount entries of services
 * @param endpointCount entries of endpoints
 * @param teamCount entries of teams
 */
public record LoadBudget(int serviceCount, int endpointCount, int teamCount) {

	private static final LoadBudget DEFAULTS = new LoadBudget(1, 5, 2);

	/**
	 * Returns the budget that keeps heartbeats within their bytes at the target size.
	 * @return the budget
	 */
	public static LoadBudget defaults() {
		return DEFAULTS;
	}

}
