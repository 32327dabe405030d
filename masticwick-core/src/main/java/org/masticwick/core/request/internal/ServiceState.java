package org.masticwick.core.request.internal;

import java.util.List;

import org.masticwick.core.version.ServiceSpec;

/**
 * Is the work of one service, its endpoints and what was learnt of both.
 */
final class ServiceState {

	private static final long CAPACITY_REFRESH_NANOS = 5_000_000L;

	private final RunTimes runTimes;

	private final RetryBudget retryBudget;

	private final SmallJobReserve smallJobReserve = new SmallJobReserve();

	private final OverflowReserve overflowReserve = new OverflowReserve();

	private final ServiceQueue queue;

	private ServiceSpec spec;

	private PlacementPolicy placement;

	private List<EndpointView> local = List.of();

	private List<EndpointView> remote = List.of();

	private int runningCount;

	private double slotCount = 1;

	private boolean slotCountKnown;

	private long slotCountNanos;

	/**
	 * Creates the state of a service without endpoints and work.
	 * @param spec the service
	 * @param runTimes what is known of its run times
	 * @param retryBudget the bound of its retries
	 * @param queue its queue
	 * @param placement how its starts are placed
	 */
	ServiceState(ServiceSpec spec, RunTimes runTimes, RetryBudget retryBudget, ServiceQueue queue,
			PlacementPolicy placement) {
		this.spec = spec;
		this.runTimes = runTimes;
		this.retryBudget = retryBudget;
		this.queue = queue;
		this.placement = placement;
	}

	/**
	 * Returns on how many slots this host may count: its part of all, or more while
	 * others don't use theirs.
	 * @param hostCount how many entry hosts share the endpoints
	 * @param nowNanos the time
	 * @return the number, at least 1
	 */
	double slotCount(int hostCount, long nowNanos) {
		if (!this.slotCountKnown || nowNanos - this.slotCountNanos >= CAPACITY_REFRESH_NANOS) {
			this.slotCount = Math.max(1, usableSlotCount(hostCount, nowNanos));
			this.slotCountNanos = nowNanos;
			this.slotCountKnown = true;
		}
		return this.slotCount;
	}

	/**
	 * Returns how long a new task is expected to wait.
	 * @param queuedCount how many tasks go before it
	 * @param hostCount how many entry hosts share the endpoints
	 * @param nowNanos the time
	 * @return the time in nanoseconds
	 */
	double waitNanos(int queuedCount, int hostCount, long nowNanos) {
		return queuedCount * this.runTimes.meanNanos() / slotCount(hostCount, nowNanos);
	}

	/**
	 * Returns whether an endpoint takes work.
	 * @return {@code true} if so
	 */
	boolean served() {
		return this.local.stream().anyMatch(EndpointView::live) || this.remote.stream().anyMatch(EndpointView::live);
	}

	/**
	 * Returns the slots of the endpoints of the own domain that take work.
	 * @return the number
	 */
	int localSlotCount() {
		return this.local.stream()
			.filter((endpoint) -> endpoint.live() && !endpoint.health().ejected())
			.mapToInt((endpoint) -> endpoint.spec().slotCount())
			.sum();
	}

	void endpoints(List<EndpointView> newLocal, List<EndpointView> newRemote) {
		this.local = newLocal;
		this.remote = newRemote;
		refresh();
	}

	void refresh() {
		this.slotCountKnown = false;
	}

	void spec(ServiceSpec newSpec) {
		this.spec = newSpec;
	}

	void placement(PlacementPolicy newPlacement) {
		this.placement = newPlacement;
	}

	void addRunning(int count) {
		this.runningCount += count;
	}

	ServiceSpec spec() {
		return this.spec;
	}

	RunTimes runTimes() {
		return this.runTimes;
	}

	SmallJobReserve smallJobReserve() {
		return this.smallJobReserve;
	}

	OverflowReserve overflowReserve() {
		return this.overflowReserve;
	}

	RetryBudget retryBudget() {
		return this.retryBudget;
	}

	ServiceQueue queue() {
		return this.queue;
	}

	PlacementPolicy placement() {
		return this.placement;
	}

	List<EndpointView> local() {
		return this.local;
	}

	List<EndpointView> remote() {
		return this.remote;
	}

	int runningCount() {
		return this.runningCount;
	}

	private double usableSlotCount(int hostCount, long nowNanos) {
		double fadeNanos = this.runTimes.meanNanos();
		List<EndpointView> usable = this.local.stream()
			.filter((endpoint) -> endpoint.live() && !endpoint.health().ejected())
			.toList();
		double part = usable.stream().mapToInt((endpoint) -> endpoint.spec().slotCount()).sum()
				/ (double) Math.max(1, hostCount);
		double left = usable.stream()
			.mapToDouble((endpoint) -> endpoint.freeCount(nowNanos, fadeNanos) + endpoint.outstandingCount())
			.map((count) -> Math.max(0, count))
			.sum();
		return Math.max(part, left);
	}

}
