package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Draws two endpoints at random and selects the one with more free slots, by this host's
 * own count of outstanding tasks only.
 */
final class LeastOfTwoPlacement implements PlacementPolicy {

	@Override
	public String name() {
		return "least-of-two";
	}

	@Override
	public double availableSlotCount(EndpointView endpoint, PlacementContext context) {
		return endpoint.spec().slotCount() - endpoint.outstandingCount();
	}

	@Override
	public EndpointView choose(List<EndpointView> candidates, PlacementContext context) {
		return EndpointSelection.lessLoadedOfTwo(candidates, this, context);
	}

}
