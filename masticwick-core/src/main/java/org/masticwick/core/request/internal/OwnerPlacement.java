package org.masticwick.core.request.internal;

import java.util.List;

/**
 * Prefers endpoints that this host owns and overflows to the endpoint of a peer with the
 * most free slots, unless that peer has queued tasks. As all hosts do so, each endpoint
 * is used mostly by its owner, and the owner's own count of outstanding tasks is close to
 * the endpoint's real load.
 */
final class OwnerPlacement implements PlacementPolicy {

	/**
	 * Bounds the reserve on small endpoints to a half of their slots, so that a host that
	 * owns no endpoint can start tasks on idle ones.
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
