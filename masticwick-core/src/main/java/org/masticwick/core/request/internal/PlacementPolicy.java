package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Decides on which endpoint the next task starts, if any.
 */
interface PlacementPolicy {

	/**
	 * Returns the name that stands in the rule {@code dispatch/placement}.
	 * @return the name
	 */
	String name();

	/**
	 * Returns how many more tasks this host may start on an endpoint now.
	 * @param endpoint the endpoint
	 * @param context what else counts
	 * @return the number, by estimate
	 */
	double availableSlotCount(EndpointView endpoint, PlacementContext context);

	/**
	 * Chooses one of several endpoints that have room.
	 * @param candidates the endpoints, at least one
	 * @param context what else counts
	 * @return the endpoint
	 */
	EndpointView choose(List<EndpointView> candidates, PlacementContext context);

}
