package org.masticwick.core.request.internal;

import java.util.Comparator;
import java.util.List;

/**
 * Chooses among endpoints by the room that a policy sees on them.
 */
final class EndpointSelection {

	private EndpointSelection() {
	}

	/**
	 * Draws two endpoints and chooses the roomier.
	 * @param candidates the endpoints, at least one
	 * @param policy the policy
	 * @param context what else counts
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
	 * Chooses the roomiest endpoint; of equal ones, any.
	 * @param candidates the endpoints, at least one
	 * @param policy the policy
	 * @param context what else counts
	 * @return the endpoint
	 */
	static EndpointView leastLoaded(List<EndpointView> candidates, PlacementPolicy policy, PlacementContext context) {
		return candidates.stream()
			.max(Comparator.comparingDouble((endpoint) -> policy.availableSlotCount(endpoint, context)))
			.orElseThrow();
	}

}
