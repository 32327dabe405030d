package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Draws two endpoints and takes the one on which more slots are left, by this host's own
 * counts and what peers and refusals told of the rest.
 */
final class LeastOfTwoPeersPlacement implements PlacementPolicy {

	@Override
	public String name() {
		return "least-of-two-peers";
	}

	@Override
	public double availableSlotCount(EndpointView endpoint, PlacementContext context) {
		return endpoint.freeSlotCount(context.nowNanos(), context.decayNanos());
	}

	@Override
	public EndpointView choose(List<EndpointView> candidates, PlacementContext context) {
		return EndpointSelection.lessLoadedOfTwo(candidates, this, context);
	}

}
