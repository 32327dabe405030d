package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Prefers the endpoints that this host owns, and overflows to the one of the others on
 * which most slots are left, unless its owner has work waiting. Since peers do the same,
 * what a host doesn't own is mostly used by its owner, and what it owns mostly by itself,
 * so that its own counts come near the truth.
 */
final class OwnerPlacement implements PlacementPolicy {

	/**
	 * Bounds the reserve of small endpoints, so that a host which owns none can start
	 * tasks on idle ones.
	 */
	private static final int RESERVE_DIVISOR = 2;

	@Override
	public String name() {
		return "owner";
	}

	@Override
	public double availableSlotCount(EndpointView endpoint, PlacementContext context) {
		double freeSlotCount = endpoint.freeSlotCount(context.nowNanos(), context.decayNanos());
		if (ownedBySelf(endpoint, context)) {
			return freeSlotCount;
		}
		return ownerHasQueuedTasks(endpoint, context) ? 0 : (freeSlotCount - reserveCount(endpoint, context));
	}

	private static int reserveCount(EndpointView endpoint, PlacementContext context) {
		return Math.min(context.overflowReserveCount(), endpoint.spec().slotCount() / RESERVE_DIVISOR);
	}

	@Override
	public EndpointView choose(List<EndpointView> candidates, PlacementContext context) {
		List<EndpointView> owned = candidates.stream().filter((endpoint) -> ownedBySelf(endpoint, context)).toList();
		return EndpointSelection.leastLoaded(owned.isEmpty() ? candidates : owned, this, context);
	}

	private boolean ownerHasQueuedTasks(EndpointView endpoint, PlacementContext context) {
		return context.ownership()
			.owner(endpoint.address())
			.filter((owner) -> context.peerReports().hasQueuedTasks(owner, context.service()))
			.isPresent();
	}

	private boolean ownedBySelf(EndpointView endpoint, PlacementContext context) {
		return context.ownership().owns(context.self(), endpoint.address());
	}

}
