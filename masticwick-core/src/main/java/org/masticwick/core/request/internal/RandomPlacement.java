package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Takes any endpoint on which this host has slots left by its own count. A baseline.
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
