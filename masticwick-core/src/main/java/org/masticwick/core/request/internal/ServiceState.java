package org.masticwick.core.request.internal;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskSpec;
import org.masticwick.core.version.ServiceSpec;

/**
 * The state of one service: its queue, its endpoints and the estimates of its run times.
 */
final class ServiceState {

	private static final long SLOT_COUNT_MAX_AGE_NANOS = 5_000_000L;

	private final RunTimeEstimates runTimes;

	private final RetryBudget retryBudget;

	private final SmallJobReserve smallJobReserve = new SmallJobReserve();

	private final OverflowReserve overflowReserve = new OverflowReserve();

	private final ServiceQueue queue;

	private ServiceSpec spec;

	private PlacementPolicy placement;

	private List<EndpointView> localEndpoints = List.of();

	private List<EndpointView> remoteEndpoints = List.of();

	private int runningCount;

	private double cachedSlotCount = 1;

	private boolean slotCountCached;

	private long slotCountCachedNanos;

	/**
	 * Creates the state of a service without endpoints and jobs.
	 * @param spec the declaration of the service
	 * @param runTimes the estimates of its run times
	 * @param retryBudget the retry budget
	 * @param queue its queue
	 * @param placement the placement policy of its starts
	 */
	ServiceState(ServiceSpec spec, RunTimeEstimates runTimes, RetryBudget retryBudget, ServiceQueue queue,
			PlacementPolicy placement) {
		this.spec = spec;
		this.runTimes = runTimes;
		this.retryBudget = retryBudget;
		this.queue = queue;
		this.placement = placement;
	}

	/**
	 * Returns the number of local slots that this host can expect to use: its equal
	 * share, or more while peers use less than theirs.
	 * @param hostCount the number of entry hosts that share the endpoints
	 * @param nowNanos the current time
	 * @return the number of slots, at least 1
	 */
	double usableSlotCount(int hostCount, long nowNanos) {
		if (!this.slotCountCached || nowNanos - this.slotCountCachedNanos >= SLOT_COUNT_MAX_AGE_NANOS) {
			this.cachedSlotCount = Math.max(1, computeUsableSlotCount(hostCount, nowNanos));
			this.slotCountCachedNanos = nowNanos;
			this.slotCountCached = true;
		}
		return this.cachedSlotCount;
	}

	/**
	 * Returns the expected queue wait of a task.
	 * @param queuedCount the number of tasks queued before it
	 * @param hostCount the number of entry hosts that share the endpoints
	 * @param nowNanos the current time
	 * @return the time in nanoseconds
	 */
	double expectedWaitNanos(int queuedCount, int hostCount, long nowNanos) {
		return queuedCount * this.runTimes.meanNanos() / usableSlotCount(hostCount, nowNanos);
	}

	/**
	 * Returns whether any endpoint of the service accepts tasks.
	 * @return {@code true} if so
	 */
	boolean hasLiveEndpoint() {
		return this.localEndpoints.stream().anyMatch(EndpointView::live)
				|| this.remoteEndpoints.stream().anyMatch(EndpointView::live);
	}

	/**
	 * Returns whether a job has a task that
	 * {@link #requiresDrainedEndpoint(TaskSpec, Set) requires} an endpoint of a drained
	 * failure domain.
	 * @param job the job
	 * @return {@code true} if so
	 */
	boolean requiresDrainedEndpoint(JobEntry job) {
		return job.request().tasks().stream().anyMatch((task) -> requiresDrainedEndpoint(task, job.unfitEndpoints()));
	}

	/**
	 * Returns whether a task fits an endpoint of a drained failure domain and none that
	 * accepts tasks.
	 * @param task the task
	 * @param unfitEndpoints the addresses of endpoints that refused a task of the same
	 * job because they can never run it
	 * @return {@code true} if so
	 */
	boolean requiresDrainedEndpoint(TaskSpec task, Set<HostAddress> unfitEndpoints) {
		Predicate<EndpointView> fitting = (endpoint) -> endpoint.fits(task)
				&& !unfitEndpoints.contains(endpoint.address());
		return endpoints().noneMatch((endpoint) -> endpoint.live() && fitting.test(endpoint))
				&& endpoints().anyMatch((endpoint) -> endpoint.drained() && fitting.test(endpoint));
	}

	/**
	 * Returns the number of slots of the endpoints in the own failure domain that accept
	 * tasks and are not ejected.
	 * @return the number of slots
	 */
	int localSlotCount() {
		return this.localEndpoints.stream()
			.filter((endpoint) -> endpoint.live() && !endpoint.health().ejected())
			.mapToInt((endpoint) -> endpoint.spec().slotCount())
			.sum();
	}

	void endpoints(List<EndpointView> newLocalEndpoints, List<EndpointView> newRemoteEndpoints) {
		this.localEndpoints = newLocalEndpoints;
		this.remoteEndpoints = newRemoteEndpoints;
		invalidateSlotCount();
	}

	void invalidateSlotCount() {
		this.slotCountCached = false;
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

	RunTimeEstimates runTimes() {
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

	List<EndpointView> localEndpoints() {
		return this.localEndpoints;
	}

	List<EndpointView> remoteEndpoints() {
		return this.remoteEndpoints;
	}

	int runningCount() {
		return this.runningCount;
	}

	private Stream<EndpointView> endpoints() {
		return Stream.concat(this.localEndpoints.stream(), this.remoteEndpoints.stream());
	}

	private double computeUsableSlotCount(int hostCount, long nowNanos) {
		double decayNanos = this.runTimes.meanNanos();
		List<EndpointView> usable = this.localEndpoints.stream()
			.filter((endpoint) -> endpoint.live() && !endpoint.health().ejected())
			.toList();
		if (usable.isEmpty() && this.localEndpoints.stream().anyMatch(EndpointView::drained)) {
			return remoteSlotCount() / (double) Math.max(1, hostCount);
		}
		double fairShareCount = usable.stream().mapToInt((endpoint) -> endpoint.spec().slotCount()).sum()
				/ (double) Math.max(1, hostCount);
		double unusedByPeersCount = usable.stream()
			.mapToDouble((endpoint) -> endpoint.freeSlotCount(nowNanos, decayNanos) + endpoint.outstandingCount())
			.map((count) -> Math.max(0, count))
			.sum();
		return Math.max(fairShareCount, unusedByPeersCount);
	}

	/**
	 * Returns the number of slots in other failure domains that the hosts of a drained
	 * domain may use even if those domains report queued tasks.
	 * @return the number of slots
	 */
	private int remoteSlotCount() {
		return this.remoteEndpoints.stream()
			.filter((endpoint) -> endpoint.live() && !endpoint.health().ejected())
			.mapToInt(EndpointView::spillSlotCount)
			.sum();
	}

}
