package org.masticwick.core.request;

/**
 * Is an endpoint of a virtual domain.
 */
final class FakeEndpoint {

	final int slotCount;

	int busySlotCount;

	int startedTaskCount;

	boolean failing;

	boolean leaving;

	double slowdownFactor = 1;

	FakeEndpoint(int slotCount) {
		this.slotCount = slotCount;
	}

}
