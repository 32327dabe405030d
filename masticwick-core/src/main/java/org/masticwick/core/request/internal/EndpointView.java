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

	private static final long LEAVING_PRECEDENCE_NANOS = 10_000_000_000L;

	private static final double STALL_FACTOR = 4;

	private static final int STALL_COUNT = 2;

	private final Map<TaskId, RunningTask> running = new LinkedHashMap<>();

	private final PeerLoadEstimate peerLoad = new PeerLoadEstimate();

	private final EndpointHealth health = new EndpointHealth();

	private final RunTimeEstimate runTimes = new RunTimeEstimate();

	private final EndpointBackoff backoff;

	private EndpointSpec spec;

	private EndpointState state = EndpointState.LIVE;

	private boolean withdrawn;

	private boolean leavingByRefusal;

	private long leavingRefusalNanos;

	private long lastSuccessNanos = Long.MIN_VALUE;

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
	boolean acceptsStart(long nowNanos) {
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
	 * @param decayNanos the time in which a peer's count is out of date, in nanoseconds
	 * @return the number, by estimate
	 */
	double freeSlotCount(long nowNanos, double decayNanos) {
		return this.spec.slotCount() - this.running.size() - this.peerLoad.estimateTotal(nowNanos, decayNanos);
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
		double stalledSinceNanos = nowNanos - STALL_FACTOR * tailNanos;
		return this.lastSuccessNanos < stalledSinceNanos && this.running.values()
			.stream()
			.limit(STALL_COUNT)
			.allMatch((task) -> task.startNanos() < stalledSinceNanos);
	}

	void addRunning(RunningTask task) {
		this.running.put(task.id(), task);
		if (task.probe()) {
			this.health.recordProbeStart();
		}
	}

	void removeRunning(RunningTask task) {
		this.running.remove(task.id());
	}

	/**
	 * Takes in a run time of a task that succeeded.
	 * @param runTimeNanos the run time in nanoseconds
	 * @param nowNanos the time
	 */
	void recordSuccess(long runTimeNanos, long nowNanos) {
		this.runTimes.addSample(runTimeNanos);
		this.lastSuccessNanos = nowNanos;
	}

	/**
	 * Takes in a refusal.
	 * @param kind why
	 * @param expectedNanos the expected run time of a task, in nanoseconds
	 * @param nowNanos the time
	 */
	void recordRefusal(StartOutcome.Kind kind, double expectedNanos, long nowNanos) {
		switch (kind) {
			case REFUSED_FULL -> {
				this.peerLoad.recordObservation(this.spec.slotCount() - this.running.size(), nowNanos, expectedNanos);
				this.backoff.recordRefusal(expectedNanos / this.spec.slotCount(), expectedNanos, nowNanos);
			}
			case REFUSED_LEAVING -> {
				this.state = EndpointState.LEAVING;
				this.leavingByRefusal = true;
				this.leavingRefusalNanos = nowNanos;
			}
			case NOT_CONNECTED -> this.backoff.recordRefusal(expectedNanos, TimeMath.NANOS_PER_SECOND, nowNanos);
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
	void updateState(EndpointState newState, long nowNanos) {
		boolean refusalTakesPrecedence = this.leavingByRefusal
				&& nowNanos - this.leavingRefusalNanos < LEAVING_PRECEDENCE_NANOS;
		if (newState == EndpointState.LIVE && refusalTakesPrecedence) {
			return;
		}
		this.leavingByRefusal = false;
		this.state = newState;
	}

	void declare(EndpointSpec newSpec) {
		this.spec = newSpec;
		this.withdrawn = false;
	}

	void withdraw() {
		this.withdrawn = true;
	}

	void removePeer(EntryHost peer, double decayNanos) {
		this.peerLoad.removePeer(peer, decayNanos);
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

	PeerLoadEstimate peerLoad() {
		return this.peerLoad;
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
