package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Draws two endpoints and takes the one on which more slots are left, by this host's own
 * counts.
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
