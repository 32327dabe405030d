package org.masticwick.core.request.internal;

import java.util.List;

import org.masticwick.core.process.EntryHost;

/**
 * Uses on each endpoint the slots that are this host's own, and of those of the peers
 * what they leave idle beyond a reserve.
 */
final class SlotSharePlacement implements PlacementPolicy {

	private static final double LENDING_RESERVE = 1;

	@Override
	public String name() {
		return "slot-share";
	}

	@Override
	public double room(EndpointView endpoint, PlacementContext context) {
		int own = context.ownership().slotCount(context.self(), endpoint.spec());
		double lent = context.hosts()
			.stream()
			.filter((host) -> !host.equals(context.self()))
			.filter((host) -> !context.peers().waits(host, context.service()))
			.mapToDouble((host) -> lent(host, endpoint, context))
			.sum();
		double free = endpoint.freeCount(context.nowNanos(), context.fadeNanos());
		double unused = own - endpoint.outstandingCount();
		return (unused >= 1) ? unused : Math.min(free, unused + lent);
	}

	@Override
	public EndpointView choose(List<EndpointView> candidates, PlacementContext context) {
		return Choices.roomierOfTwo(candidates, this, context);
	}

	private double lent(EntryHost host, EndpointView endpoint, PlacementContext context) {
		double used = endpoint.foreign().estimate(host, context.nowNanos(), context.fadeNanos());
		return Math.max(0, context.ownership().slotCount(host, endpoint.spec()) - used - LENDING_RESERVE);
	}

}
