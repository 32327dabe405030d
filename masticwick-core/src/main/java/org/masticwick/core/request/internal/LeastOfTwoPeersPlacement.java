package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Draws two endpoints at random and selects the one with more free slots, by this host's
 * own count of outstanding tasks and the estimate of peer load.
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
