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
 * This host's view of one endpoint: its own outstanding tasks, which it knows exactly,
 * and estimates of the tasks of peers.
 */
final class EndpointView {

	private static final long LEAVING_PRECEDENCE_NANOS = 10_000_000_000L;

	private static final double STALL_FACTOR = 4;

	private static final int STALL_COUNT = 2;

	private static final int SPILL_SLOT_DIVISOR = 4;

	private final Map<TaskId, RunningTask> running = new LinkedHashMap<>();

	private final PeerLoadEstimate peerLoad = new PeerLoadEstimate();

	private final EndpointHealth health = new EndpointHealth();

	private final RunTimeEstimate runTimes = new RunTimeEstimate();

	private final EndpointBackoff backoff;

	private EndpointSpec spec;

	private EndpointState state = EndpointState.LIVE;

	private boolean withdrawn;

	private boolean drained;

	private boolean leavingByRefusal;

	private long leavingRefusalNanos;

	private long lastSuccessNanos = Long.MIN_VALUE;

	/**
	 * Creates the view of a live endpoint without tasks or results.
	 * @param spec the declaration of the endpoint
	 * @param random the source of jitter
	 */
	EndpointView(EndpointSpec spec, RandomGenerator random) {
		this.spec = spec;
		this.backoff = new EndpointBackoff(random);
	}

	/**
	 * Returns whether the endpoint accepts work as far as this host knows, regardless of
	 * free slots.
	 * @return {@code true} if so
	 */
	boolean live() {
		return !this.withdrawn && !this.drained && this.state == EndpointState.LIVE;
	}

	/**
	 * Returns whether the endpoint is part of the active version and its failure domain
	 * is drained.
	 * @return {@code true} if so
	 */
	boolean drained() {
		return this.drained && !this.withdrawn;
	}

	/**
	 * Sets whether the failure domain of the endpoint is drained. Tasks that run on the
	 * endpoint are not affected.
	 * @param newDrained whether it is drained
	 */
	void drained(boolean newDrained) {
		this.drained = newDrained;
	}

	/**
	 * Returns whether a start other than a probe may go to the endpoint now.
	 * @param nowNanos the current time
	 * @return {@code true} if so
	 */
	boolean acceptsStart(long nowNanos) {
		return live() && !this.health.ejected() && this.running.size() < this.spec.slotCount()
				&& !this.backoff.active(nowNanos);
	}

	/**
	 * Returns whether a probe should be started on the endpoint now.
	 * @param nowNanos the current time
	 * @return {@code true} if so
	 */
	boolean probeDue(long nowNanos) {
		return live() && this.health.probeDue(nowNanos) && this.running.size() < this.spec.slotCount()
				&& !this.backoff.active(nowNanos);
	}

	/**
	 * Returns whether the endpoint could run a task if it were idle.
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
	 * Returns the estimated number of slots that neither this host nor its peers use.
	 * @param nowNanos the current time
	 * @param decayNanos the time constant with which reported counts lose weight, in
	 * nanoseconds
	 * @return the estimated number; negative if peers seem to use more slots than there
	 * are
	 */
	double freeSlotCount(long nowNanos, double decayNanos) {
		return this.spec.slotCount() - this.running.size() - this.peerLoad.estimateTotal(nowNanos, decayNanos);
	}

	/**
	 * Returns the number of slots that a host of another failure domain may use while the
	 * load of this endpoint's domain is unknown or high.
	 * @return the number of slots, at least 1
	 */
	int spillSlotCount() {
		return Math.max(1, this.spec.slotCount() / SPILL_SLOT_DIVISOR);
	}

	/**
	 * Returns whether several tasks have been outstanding far longer than usual and no
	 * task has succeeded in the meantime.
	 * @param tailNanos a high quantile of the run times of the service, in nanoseconds
	 * @param nowNanos the current time
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
	 * Records the success of a task.
	 * @param runTimeNanos the run time in nanoseconds
	 * @param nowNanos the current time
	 */
	void recordSuccess(long runTimeNanos, long nowNanos) {
		this.runTimes.addSample(runTimeNanos);
		this.lastSuccessNanos = nowNanos;
	}

	/**
	 * Records that the endpoint refused a start or could not be connected to.
	 * @param kind the kind of outcome
	 * @param expectedNanos the mean run time of a task, in nanoseconds
	 * @param nowNanos the current time
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
	 * Updates the state from the platform's host list. The list lags, so an endpoint that
	 * refused a start because it is leaving keeps that state for a while even if the list
	 * shows it as live.
	 * @param newState the state in the list
	 * @param nowNanos the current time
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
