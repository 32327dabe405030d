package org.masticwick.core.request;

/**
 * An endpoint of a {@link VirtualDomain}.
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
