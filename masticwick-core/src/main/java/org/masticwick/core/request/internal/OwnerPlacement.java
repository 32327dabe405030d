package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Prefers the endpoints that this host owns, and overflows to the one of the others on
 * which most slots are left. Since peers do the same, what a host doesn't own is mostly
 * used by its owner, and what it owns mostly by itself, so that its own counts come near
 * the truth.
 */
final class OwnerPlacement implements PlacementPolicy {

	private static final double OVERFLOW_RESERVE = 1;

	@Override
	public String name() {
		return "owner";
	}

	@Override
	public double room(EndpointView endpoint, PlacementContext context) {
		double free = endpoint.freeCount(context.nowNanos(), context.fadeNanos());
		return owned(endpoint, context) ? free : (free - OVERFLOW_RESERVE);
	}

	@Override
	public EndpointView choose(List<EndpointView> candidates, PlacementContext context) {
		List<EndpointView> owned = candidates.stream().filter((endpoint) -> owned(endpoint, context)).toList();
		return Choices.roomiest(owned.isEmpty() ? candidates : owned, this, context);
	}

	private boolean owned(EndpointView endpoint, PlacementContext context) {
		return context.ownership().owns(context.self(), endpoint.address());
	}

}
