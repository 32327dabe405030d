package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps capacity for waiting tasks of priority 0 during a scheduling pass. Without it, a
 * large task waits for long, because smaller tasks of lower priorities take each part of
 * an endpoint that becomes free.
 */
final class UrgentReservation {

	/**
	 * The largest part of the endpoints that is reserved, as a divisor of their number.
	 */
	private static final int ENDPOINT_DIVISOR = 16;

	private final long responseTimeoutMillis;

	private final List<PooledTask> tasks = new ArrayList<>();

	/** The endpoints with the most free capacity, in descending order of it. */
	private final List<PooledEndpoint> byFreeCapacity = new ArrayList<>();

	private final List<Reservation> reservations = new ArrayList<>();

	UrgentReservation(long responseTimeoutMillis) {
		this.responseTimeoutMillis = responseTimeoutMillis;
	}

	/**
	 * Adds a job whose ready tasks could not all be placed.
	 * @param job the job
	 */
	void add(PooledJob job) {
		this.tasks.addAll(job.readyTasks());
	}

	boolean isNeeded() {
		return !this.tasks.isEmpty();
	}

	/**
	 * Reserves an endpoint for each added task, up to the limit: of the endpoints with
	 * the most free capacity, the first that could run the task if it were idle.
	 * @param endpoints the endpoints of the pool
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void reserve(EndpointTable endpoints, long nowMillis) {
		int maxCount = Math.min(this.tasks.size(), Math.max(1, endpoints.all().size() / ENDPOINT_DIVISOR));
		for (PooledEndpoint endpoint : endpoints.all()) {
			if (endpoint.acceptsTasks(nowMillis, this.responseTimeoutMillis)
					&& couldRunAny(endpoint, endpoints, maxCount)) {
				insert(endpoint, maxCount);
			}
		}
		for (PooledTask task : this.tasks) {
			if (this.byFreeCapacity.isEmpty()) {
				break;
			}
			reserveFor(task, endpoints);
		}
		this.tasks.clear();
		this.byFreeCapacity.clear();
	}

	private boolean couldRunAny(PooledEndpoint endpoint, EndpointTable endpoints, int taskCount) {
		for (int index = 0; index < taskCount; index++) {
			if (endpoints.couldRun(this.tasks.get(index), endpoint)) {
				return true;
			}
		}
		return false;
	}

	private void reserveFor(PooledTask task, EndpointTable endpoints) {
		for (int index = 0; index < this.byFreeCapacity.size(); index++) {
			PooledEndpoint endpoint = this.byFreeCapacity.get(index);
			if (endpoints.couldRun(task, endpoint)) {
				endpoint.reserve(task.step());
				this.reservations.add(new Reservation(endpoint, task.step()));
				this.byFreeCapacity.remove(index);
				return;
			}
		}
	}

	private void insert(PooledEndpoint endpoint, int maxCount) {
		long freeMillicores = endpoint.free().cpuMillicores();
		int index = this.byFreeCapacity.size();
		while (index > 0 && this.byFreeCapacity.get(index - 1).free().cpuMillicores() < freeMillicores) {
			index--;
		}
		if (index < maxCount) {
			this.byFreeCapacity.add(index, endpoint);
			if (this.byFreeCapacity.size() > maxCount) {
				this.byFreeCapacity.remove(maxCount);
			}
		}
	}

	/**
	 * Ends all reservations.
	 */
	void release() {
		this.reservations.forEach((each) -> each.endpoint().release(each.step()));
		this.reservations.clear();
		this.tasks.clear();
	}

	private record Reservation(PooledEndpoint endpoint, StepSpec step) {
	}

}
