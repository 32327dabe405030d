package org.masticwick.core.request.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.EndpointState;
import org.masticwick.core.request.StartOutcome;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.TaskSpec;
import org.masticwick.core.version.EndpointSpec;

/**
 * Is what this host knows of one endpoint: its own tasks exactly, the rest by estimate.
 */
final class EndpointView {

	private static final long LEAVING_HOLD_NANOS = 10_000_000_000L;

	private static final double STALL_FACTOR = 4;

	private static final int STALL_COUNT = 2;

	private final Map<TaskId, RunningTask> running = new LinkedHashMap<>();

	private final ForeignLoad foreign = new ForeignLoad();

	private final EndpointHealth health = new EndpointHealth();

	private final RunTimeEstimate runTimes = new RunTimeEstimate();

	private final EndpointBackoff backoff;

	private EndpointSpec spec;

	private EndpointState state = EndpointState.LIVE;

	private boolean withdrawn;

	private boolean refusedLeaving;

	private long refusedLeavingNanos;

	private long successNanos = Long.MIN_VALUE;

	/**
	 * Creates the view of an endpoint of which nothing is known yet.
	 * @param spec its capacity
	 * @param random the source of jitter
	 */
	EndpointView(EndpointSpec spec, RandomGenerator random) {
		this.spec = spec;
		this.backoff = new EndpointBackoff(random);
	}

	/**
	 * Returns whether the endpoint takes work as far as is known, whether or not a slot
	 * is free.
	 * @return {@code true} if so
	 */
	boolean live() {
		return !this.withdrawn && this.state == EndpointState.LIVE;
	}

	/**
	 * Returns whether a usual start may go to the endpoint now.
	 * @param nowNanos the time
	 * @return {@code true} if so
	 */
	boolean open(long nowNanos) {
		return live() && !this.health.ejected() && this.running.size() < this.spec.slotCount()
				&& !this.backoff.active(nowNanos);
	}

	/**
	 * Returns whether a probe should go to the endpoint now.
	 * @param nowNanos the time
	 * @return {@code true} if so
	 */
	boolean probeDue(long nowNanos) {
		return live() && this.health.probeDue(nowNanos) && this.running.size() < this.spec.slotCount()
				&& !this.backoff.active(nowNanos);
	}

	/**
	 * Returns whether the endpoint could run a task if it had nothing else to do.
	 * @param task the task
	 * @return {@code true} if so
	 */
	boolean fits(TaskSpec task) {
		return fits(this.spec, task);
	}

	static boolean fits(EndpointSpec spec, TaskSpec task) {
		return spec.slotCount() > 0 && task.declaredMemoryMegabytes() <= spec.memoryMegabytes()
				&& task.declaredAcceleratorCount() <= spec.acceleratorCount();
	}

	/**
	 * Returns how many slots neither this host nor others have taken.
	 * @param nowNanos the time
	 * @param fadeNanos the time in which a peer's count is out of date, in nanoseconds
	 * @return the number, by estimate
	 */
	double freeCount(long nowNanos, double fadeNanos) {
		return this.spec.slotCount() - this.running.size() - this.foreign.estimate(nowNanos, fadeNanos);
	}

	/**
	 * Returns whether tasks are outstanding for far too long and none came back
	 * meanwhile.
	 * @param tailNanos the run time that hardly any task exceeds, in nanoseconds
	 * @param nowNanos the time
	 * @return {@code true} if so
	 */
	boolean stalled(double tailNanos, long nowNanos) {
		if (this.running.size() < STALL_COUNT) {
			return false;
		}
		double limitNanos = nowNanos - STALL_FACTOR * tailNanos;
		return this.successNanos < limitNanos
				&& this.running.values().stream().limit(STALL_COUNT).allMatch((task) -> task.startNanos() < limitNanos);
	}

	void started(RunningTask task) {
		this.running.put(task.id(), task);
		if (task.probe()) {
			this.health.probeStarted();
		}
	}

	void ended(RunningTask task) {
		this.running.remove(task.id());
	}

	/**
	 * Takes in a run time of a task that succeeded.
	 * @param runTimeNanos the run time in nanoseconds
	 * @param nowNanos the time
	 */
	void succeeded(long runTimeNanos, long nowNanos) {
		this.runTimes.add(runTimeNanos);
		this.successNanos = nowNanos;
	}

	/**
	 * Takes in a refusal.
	 * @param kind why
	 * @param expectedNanos the expected run time of a task, in nanoseconds
	 * @param nowNanos the time
	 */
	void refused(StartOutcome.Kind kind, double expectedNanos, long nowNanos) {
		switch (kind) {
			case REFUSED_FULL -> {
				this.foreign.observe(this.spec.slotCount() - this.running.size(), nowNanos, expectedNanos);
				this.backoff.refused(expectedNanos / this.spec.slotCount(), expectedNanos, nowNanos);
			}
			case REFUSED_LEAVING -> {
				this.state = EndpointState.LEAVING;
				this.refusedLeaving = true;
				this.refusedLeavingNanos = nowNanos;
			}
			case NOT_CONNECTED -> this.backoff.refused(expectedNanos, Times.NANOS_PER_SECOND, nowNanos);
			default -> {
			}
		}
	}

	/**
	 * Takes in the state that the platform's list tells. The list lags: for a while it
	 * doesn't outweigh the endpoint's own word that it is leaving.
	 * @param newState the state
	 * @param nowNanos the time
	 */
	void state(EndpointState newState, long nowNanos) {
		boolean held = this.refusedLeaving && nowNanos - this.refusedLeavingNanos < LEAVING_HOLD_NANOS;
		if (newState == EndpointState.LIVE && held) {
			return;
		}
		this.refusedLeaving = false;
		this.state = newState;
	}

	void spec(EndpointSpec newSpec) {
		this.spec = newSpec;
		this.withdrawn = false;
	}

	void withdraw() {
		this.withdrawn = true;
	}

	void forget(EntryHost peer, double fadeNanos) {
		this.foreign.forget(peer, fadeNanos);
	}

	HostAddress address() {
		return this.spec.address();
	}

	EndpointSpec spec() {
		return this.spec;
	}

	EndpointState state() {
		return this.withdrawn ? EndpointState.GONE : this.state;
	}

	int outstandingCount() {
		return this.running.size();
	}

	ForeignLoad foreign() {
		return this.foreign;
	}

	EndpointHealth health() {
		return this.health;
	}

	EndpointBackoff backoff() {
		return this.backoff;
	}

	RunTimeEstimate runTimes() {
		return this.runTimes;
	}

}
