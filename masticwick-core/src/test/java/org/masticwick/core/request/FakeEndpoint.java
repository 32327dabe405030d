package org.masticwick.core.request;

/**
 * Is an endpoint of a virtual domain.
 */
final class FakeEndpoint {

	final int slotCount;

	int busyCount;

	int startCount;

	boolean failing;

	boolean leaving;

	double slowness = 1;

	FakeEndpoint(int slotCount) {
		this.slotCount = slotCount;
	}

}
