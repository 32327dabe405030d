package org.masticwick.core.pool;

import java.util.function.LongPredicate;

/**
 * Starts waiting tasks in scheduling passes over the queue. Under overload, a pass keeps
 * capacity for the jobs of priority 0 that could not be started.
 */
final class Dispatcher {

	/**
	 * A scheduling pass ends after this many failed placements of distinct kinds of task.
	 */
	private static final int MAX_PLACEMENT_FAILURES = 40;

	private final EndpointTable endpoints;

	private final JobTable jobs;

	private final TaskStarter starter;

	private final AdmissionPolicy admission;

	private final UrgentReservation urgentReservation;

	private final PreviousOwnerRuns previousOwnerRuns;

	private final PoolActions actions;

	private LongPredicate startDelay = (nowMillis) -> false;

	/** Whether tasks waited for free capacity after the last scheduling pass. */
	private boolean capacityShort;

	Dispatcher(EndpointTable endpoints, JobTable jobs, TaskStarter starter, AdmissionPolicy admission,
			UrgentReservation urgentReservation, PreviousOwnerRuns previousOwnerRuns, PoolActions actions) {
		this.previousOwnerRuns = previousOwnerRuns;
		this.actions = actions;
		this.endpoints = endpoints;
		this.jobs = jobs;
		this.starter = starter;
		this.admission = admission;
		this.urgentReservation = urgentReservation;
	}

	/**
	 * Sets when tasks must wait although capacity is free.
	 * @param delay tells for the current monotonic time in milliseconds whether no task
	 * may start
	 */
	void startDelay(LongPredicate delay) {
		this.startDelay = delay;
	}

	boolean isDelayed(long nowMillis) {
		return this.startDelay.test(nowMillis);
	}

	/**
	 * Returns whether tasks waited for free capacity after the last scheduling pass.
	 * @return whether there were such tasks; {@code false} if starts were delayed
	 */
	boolean isCapacityShort() {
		return this.capacityShort;
	}

	/**
	 * Runs a scheduling pass: starts the waiting tasks for which an endpoint has
	 * capacity.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void dispatch(long nowMillis) {
		this.capacityShort = false;
		if (this.jobs.queue().size() == 0 || isDelayed(nowMillis)) {
			return;
		}
		try {
			dispatchInOrder(this.admission.isUrgentFirst(nowMillis), nowMillis);
		}
		finally {
			this.urgentReservation.release();
		}
	}

	private void dispatchInOrder(boolean urgentFirst, long nowMillis) {
		PlacementFailures failures = new PlacementFailures(this.endpoints.largestFree(nowMillis));
		PreviousOwnerRuns.SuspectedJobs suspectedJobs = this.previousOwnerRuns.suspectedJobs(nowMillis);
		boolean reserved = false;
		for (PooledJob job : this.jobs.queue().inDispatchOrder(urgentFirst, nowMillis)) {
			if (suspectedJobs.contains(job)) {
				hold(job, suspectedJobs);
				continue;
			}
			if (!reserved && this.urgentReservation.isNeeded() && !JobQueue.isUrgent(job)) {
				reserved = true;
				this.urgentReservation.reserve(this.endpoints, nowMillis);
				failures.largestFree(this.endpoints.largestFree(nowMillis));
			}
			startReady(job, failures, nowMillis);
			this.capacityShort |= waitsForCapacity(job);
			if (failures.count() >= MAX_PLACEMENT_FAILURES) {
				return;
			}
			if (!reserved && urgentFirst && job.terms().priority() <= 0 && !job.readyTasks().isEmpty()) {
				this.urgentReservation.add(job);
			}
		}
	}

	private void hold(PooledJob job, PreviousOwnerRuns.SuspectedJobs suspectedJobs) {
		if (job.markHeld()) {
			this.actions.jobHeld(job, suspectedJobs.reason(job));
		}
	}

	// A task that needs a drained endpoint, or one with a rare label, may wait while most
	// of the capacity is free.
	private boolean waitsForCapacity(PooledJob job) {
		return job.readyTasks().stream().anyMatch((task) -> task.step().requiredLabel().isEmpty())
				&& !this.endpoints.needsDrainedEndpoint(job);
	}

	private void startReady(PooledJob job, PlacementFailures failures, long nowMillis) {
		boolean started = this.starter.startReady(job, failures, nowMillis);
		if (started) {
			failures.largestFree(this.endpoints.largestFree(nowMillis));
		}
		if (started && !job.isStarted()) {
			this.jobs.queue().remove(job);
			job.markStarted();
			this.admission.started(job, nowMillis);
			this.jobs.enqueueReady(job, nowMillis);
		}
		else if (job.readyTasks().isEmpty()) {
			this.jobs.queue().remove(job);
		}
	}

}
