package org.masticwick.core.request.internal;

import java.util.Comparator;
import java.util.List;

import org.masticwick.core.process.HostAddress;

/**
 * Selects the endpoints in rotation, ordered by address. Serves as a baseline.
 */
final class RoundRobinPlacement implements PlacementPolicy {

	private HostAddress lastAddress;

	@Override
	public String name() {
		return "round-robin";
	}

	@Override
	public double availableSlotCount(EndpointView endpoint, PlacementContext context) {
		return endpoint.spec().slotCount() - endpoint.outstandingCount();
	}

	@Override
	public EndpointView choose(List<EndpointView> candidates, PlacementContext context) {
		Comparator<EndpointView> byAddress = Comparator.comparing(EndpointView::address);
		EndpointView chosen = candidates.stream()
			.filter((endpoint) -> this.lastAddress == null || endpoint.address().compareTo(this.lastAddress) > 0)
			.min(byAddress)
			.orElseGet(() -> candidates.stream().min(byAddress).orElseThrow());
		this.lastAddress = chosen.address();
		return chosen;
	}

}
