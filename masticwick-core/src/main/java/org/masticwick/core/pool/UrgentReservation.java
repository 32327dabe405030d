package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.Collection;
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
	private static final int ENDPOINT_DIVISOR = 8;

	private final long responseTimeoutMillis;

	private final List<PooledTask> tasks = new ArrayList<>();

	/** The endpoints with the most free capacity, in descending order of it. */
	private final List<PooledEndpoint> freest = new ArrayList<>();

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
	 * Reserves the endpoints with the most free capacity for the added tasks, one for
	 * each.
	 * @param endpoints the endpoints of the pool
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void reserve(Collection<PooledEndpoint> endpoints, long nowMillis) {
		int maxCount = Math.min(this.tasks.size(), 1 + endpoints.size() / ENDPOINT_DIVISOR);
		for (PooledEndpoint endpoint : endpoints) {
			if (endpoint.acceptsTasks(nowMillis, this.responseTimeoutMillis)) {
				insert(endpoint, maxCount);
			}
		}
		for (int index = 0; index < this.freest.size(); index++) {
			PooledEndpoint endpoint = this.freest.get(index);
			PooledTask task = this.tasks.get(index);
			if (endpoint.entry().service().equals(task.job().terms().service())) {
				endpoint.reserve(task.step());
				this.reservations.add(new Reservation(endpoint, task.step()));
			}
		}
		this.tasks.clear();
		this.freest.clear();
	}

	private void insert(PooledEndpoint endpoint, int maxCount) {
		long freeMillicores = endpoint.free().cpuMillicores();
		int index = this.freest.size();
		while (index > 0 && this.freest.get(index - 1).free().cpuMillicores() < freeMillicores) {
			index--;
		}
		if (index < maxCount) {
			this.freest.add(index, endpoint);
			if (this.freest.size() > maxCount) {
				this.freest.remove(maxCount);
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
