package org.masticwick.core.request.internal;

import java.util.List;

import org.masticwick.core.process.EntryHost;

/**
 * Uses the slots of each endpoint that are assigned to this host, and those assigned to
 * peers that the peers leave idle beyond a reserve.
 */
final class SlotSharePlacement implements PlacementPolicy {

	private static final double LENDING_RESERVE_COUNT = 1;

	@Override
	public String name() {
		return "slot-share";
	}

	@Override
	public double availableSlotCount(EndpointView endpoint, PlacementContext context) {
		int ownSlotCount = context.ownership().slotCount(context.self(), endpoint.spec());
		double lentSlotCount = context.hosts()
			.stream()
			.filter((host) -> !host.equals(context.self()))
			.filter((host) -> !context.peerReports().hasQueuedTasks(host, context.service()))
			.mapToDouble((host) -> lentSlotCount(host, endpoint, context))
			.sum();
		double freeSlotCount = endpoint.freeSlotCount(context.nowNanos(), context.decayNanos());
		double unusedOwnSlotCount = ownSlotCount - endpoint.outstandingCount();
		return (unusedOwnSlotCount >= 1) ? unusedOwnSlotCount
				: Math.min(freeSlotCount, unusedOwnSlotCount + lentSlotCount);
	}

	@Override
	public EndpointView choose(List<EndpointView> candidates, PlacementContext context) {
		return EndpointSelection.lessLoadedOfTwo(candidates, this, context);
	}

	private double lentSlotCount(EntryHost host, EndpointView endpoint, PlacementContext context) {
		double usedSlotCount = endpoint.peerLoad().estimateForPeer(host, context.nowNanos(), context.decayNanos());
		return Math.max(0,
				context.ownership().slotCount(host, endpoint.spec()) - usedSlotCount - LENDING_RESERVE_COUNT);
	}

}
