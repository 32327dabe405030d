package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Selects an endpoint at random, among those with free slots by this host's own count of
 * outstanding tasks. Serves as a baseline.
 */
final class RandomPlacement implements PlacementPolicy {

	@Override
	public String name() {
		return "random";
	}

	@Override
	public double availableSlotCount(EndpointView endpoint, PlacementContext context) {
		return endpoint.spec().slotCount() - endpoint.outstandingCount();
	}

	@Override
	public EndpointView choose(List<EndpointView> candidates, PlacementContext context) {
		return candidates.get(context.random().nextInt(candidates.size()));
	}

}
