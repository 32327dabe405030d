package org.masticwick.fleet.process;

/**
 * Decides how many endpoints one host can own under a full load of short tasks: each
 * endpoint takes a share of the host's processor for its starts and lease renewals.
 */
final class OwnerCapacity {

	/**
	 * The processor that a busy endpoint takes of its owner, in thousandths of a core:
	 * about ten starts a second.
	 */
	private static final int MILLICORES_PER_ENDPOINT = 8;

	/**
	 * The share of a host's processor that endpoints may take. The rest is for callers,
	 * and for the seconds in which arrivals exceed the mean.
	 */
	private static final double ENDPOINT_SHARE = 0.75;

	private OwnerCapacity() {
	}

	/**
	 * Returns whether one host can own endpoints.
	 * @param endpointCount the number of endpoints
	 * @param hostMillicores the processor of the host, in thousandths of a core
	 * @return whether there are endpoints and the host can carry all of them
	 */
	static boolean canOwn(int endpointCount, int hostMillicores) {
		return endpointCount > 0 && endpointCount * MILLICORES_PER_ENDPOINT <= ENDPOINT_SHARE * hostMillicores;
	}

}
