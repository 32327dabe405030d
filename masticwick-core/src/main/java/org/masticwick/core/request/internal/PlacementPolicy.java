package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Selects the endpoint on which a task is started.
 */
interface PlacementPolicy {

	/**
	 * Returns the value of the rule {@code dispatch/placement} that selects this policy.
	 * @return the name
	 */
	String name();

	/**
	 * Returns the number of further tasks that this host may start on an endpoint now.
	 * @param endpoint the endpoint
	 * @param context the inputs of the decision besides the endpoints
	 * @return the estimated number; 0 or less if none
	 */
	double availableSlotCount(EndpointView endpoint, PlacementContext context);

	/**
	 * Selects one of several endpoints with available slots.
	 * @param candidates the endpoints, at least one
	 * @param context the inputs of the decision besides the endpoints
	 * @return the endpoint
	 */
	EndpointView choose(List<EndpointView> candidates, PlacementContext context);

}
