package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.ToLongFunction;

import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.RunningTask;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationKind;

/**
 * A simulated endpoint by the platform's contract: leases on its own clock, fencing
 * tokens, run numbers and a list of ends, all of which start anew when it is restarted.
 */
final class VirtualEndpoint {

	/** A longer lease is shortened to this, by the platform's contract. */
	private static final long MAX_LEASE_MILLIS = 1_000;

	private final String id;

	private final VirtualTime time;

	private final ToLongFunction<TaskId> runMillis;

	private final Map<TaskRun, Long> startMillisByRun = new LinkedHashMap<>();

	private final List<TerminatedRun> terminatedRuns = new ArrayList<>();

	/** The highest number of a run that was stopped or has ended, by task. */
	private final Map<TaskId, Integer> endedRunNumbers = new HashMap<>();

	/** The rate of the steady clock, which may be 2% slow. */
	private final double clockRate;

	private long clockOriginMillis;

	private long startedMicros;

	private long startedEpochMillis;

	private long downUntilMicros;

	private long fencingToken;

	private long leaseEndMillis;

	private long terminationCount;

	VirtualEndpoint(String id, VirtualTime time, ToLongFunction<TaskId> runMillis, double clockRate) {
		this.id = id;
		this.time = time;
		this.runMillis = runMillis;
		this.clockRate = clockRate;
		restart(0, 1_000_000);
	}

	String id() {
		return this.id;
	}

	long startedEpochMillis() {
		return this.startedEpochMillis;
	}

	boolean isDown() {
		return this.time.nowMicros() < this.downUntilMicros;
	}

	/**
	 * Ends the life of the endpoint and begins a new one under the same id.
	 * @param downMillis how long it is down in between, in milliseconds
	 * @param newClockMillis what its steady clock shows at first, in milliseconds
	 */
	void restart(long downMillis, long newClockMillis) {
		this.startMillisByRun.clear();
		this.terminatedRuns.clear();
		this.endedRunNumbers.clear();
		this.terminationCount = 0;
		this.fencingToken = 0;
		this.leaseEndMillis = 0;
		this.clockOriginMillis = newClockMillis;
		this.downUntilMicros = this.time.nowMicros() + downMillis * 1_000;
		this.startedMicros = this.downUntilMicros;
		this.startedEpochMillis = this.time.epochMillis() + downMillis;
	}

	private long clockMillis() {
		return this.clockOriginMillis + (long) ((this.time.nowMicros() - this.startedMicros) * this.clockRate / 1_000);
	}

	long runCount(TaskId task) {
		return this.startMillisByRun.keySet().stream().filter((run) -> run.task().equals(task)).count();
	}

	/**
	 * Ends the runs whose work is done, and all if the lease has expired.
	 */
	void terminateDueRuns() {
		long nowMillis = clockMillis();
		List.copyOf(this.startMillisByRun.keySet()).forEach((run) -> {
			long doneMillis = this.startMillisByRun.get(run) + this.runMillis.applyAsLong(run.task());
			if (doneMillis <= Math.min(nowMillis, this.leaseEndMillis)) {
				terminate(run, TerminationKind.DONE);
			}
			else if (this.leaseEndMillis <= nowMillis) {
				terminate(run, TerminationKind.LAPSED);
			}
		});
	}

	private void terminate(TaskRun run, TerminationKind kind) {
		if (this.startMillisByRun.remove(run) != null) {
			this.endedRunNumbers.merge(run.task(), run.number(), Math::max);
			this.terminationCount++;
			this.terminatedRuns.add(new TerminatedRun(this.terminationCount, run, kind));
		}
	}

	private boolean accepts(long token) {
		terminateDueRuns();
		boolean accepted = token >= this.fencingToken;
		this.fencingToken = Math.max(this.fencingToken, token);
		return accepted;
	}

	private void extendLease(long endMillis) {
		this.leaseEndMillis = Math.max(this.leaseEndMillis, Math.min(endMillis, clockMillis() + MAX_LEASE_MILLIS));
	}

	/**
	 * Starts a run.
	 * @param run the run
	 * @param token the fencing token of the caller
	 * @param endMillis the end of the lease, by the clock of the endpoint
	 * @return the reason of a refusal
	 */
	Optional<StartRefusal> start(TaskRun run, long token, long endMillis) {
		if (!accepts(token)) {
			return Optional.of(StartRefusal.FENCED);
		}
		if (endMillis <= clockMillis()) {
			return Optional.of(StartRefusal.EXPIRED);
		}
		extendLease(endMillis);
		if (this.endedRunNumbers.getOrDefault(run.task(), 0) >= run.number()) {
			return Optional.of(StartRefusal.STALE_RUN);
		}
		this.startMillisByRun.putIfAbsent(run, clockMillis());
		return Optional.empty();
	}

	boolean stop(TaskRun run, long token) {
		if (!accepts(token)) {
			return false;
		}
		terminate(run, TerminationKind.STOPPED);
		this.endedRunNumbers.merge(run.task(), run.number(), Math::max);
		return true;
	}

	Optional<EndpointReport> renew(long token, long acknowledgedNumber, OptionalLong endMillis) {
		if (!accepts(token)) {
			return Optional.empty();
		}
		endMillis.ifPresent(this::extendLease);
		this.terminatedRuns.removeIf((terminated) -> terminated.number() <= acknowledgedNumber);
		return Optional.of(report());
	}

	private EndpointReport report() {
		List<RunningTask> running = this.startMillisByRun.keySet()
			.stream()
			.map((run) -> new RunningTask(run, 50))
			.toList();
		return new EndpointReport(this.startedEpochMillis, clockMillis(), running, List.copyOf(this.terminatedRuns));
	}

	/**
	 * Returns after how long the answer to a renewal is due that waits for an end.
	 * @param waitMillis how long it may wait, in milliseconds
	 * @return the time in milliseconds
	 */
	long answerDelayMillis(long waitMillis) {
		if (!this.terminatedRuns.isEmpty()) {
			return 0;
		}
		long nowMillis = clockMillis();
		return this.startMillisByRun.entrySet()
			.stream()
			.mapToLong((entry) -> entry.getValue() + this.runMillis.applyAsLong(entry.getKey().task()) - nowMillis + 1)
			.reduce(waitMillis, Math::min);
	}

}
