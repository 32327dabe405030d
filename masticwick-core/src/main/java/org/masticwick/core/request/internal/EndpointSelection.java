package org.masticwick.core.request.internal;

import java.util.Comparator;
import java.util.List;

/**
 * Selects an endpoint by the number of available slots that a placement policy sees on
 * it.
 */
final class EndpointSelection {

	private EndpointSelection() {
	}

	/**
	 * Draws two endpoints at random and selects the one with more available slots.
	 * @param candidates the endpoints, at least one
	 * @param policy the policy
	 * @param context the inputs of the decision besides the endpoints
	 * @return the endpoint
	 */
	static EndpointView lessLoadedOfTwo(List<EndpointView> candidates, PlacementPolicy policy,
			PlacementContext context) {
		int count = candidates.size();
		int first = context.random().nextInt(count);
		if (count == 1) {
			return candidates.get(first);
		}
		int second = (first + 1 + context.random().nextInt(count - 1)) % count;
		double firstAvailableCount = policy.availableSlotCount(candidates.get(first), context);
		double secondAvailableCount = policy.availableSlotCount(candidates.get(second), context);
		return candidates.get((secondAvailableCount > firstAvailableCount) ? second : first);
	}

	/**
	 * Selects the endpoint with the most available slots; any of them if several have
	 * equally many.
	 * @param candidates the endpoints, at least one
	 * @param policy the policy
	 * @param context the inputs of the decision besides the endpoints
	 * @return the endpoint
	 */
	static EndpointView leastLoaded(List<EndpointView> candidates, PlacementPolicy policy, PlacementContext context) {
		return candidates.stream()
			.max(Comparator.comparingDouble((endpoint) -> policy.availableSlotCount(endpoint, context)))
			.orElseThrow();
	}

}
