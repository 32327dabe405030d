package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.masticwick.core.process.HostAddress;

/**
 * Plays endpoints against the scheduler of a pool. They run tasks for a fixed time, crash
 * under given tasks, and may be cut off from the owner. The owner is played as well:
 * renewals at a fixed interval, and leases that expire.
 */
final class SimulatedEndpoints {

	/** The interval of renewals and scheduling passes, in milliseconds. */
	private static final long STEP_MILLIS = 10;

	/** The time without contact after which a lease has expired, in milliseconds. */
	private static final long LEASE_MILLIS = 770;

	/** How long a crashed endpoint is down, in milliseconds. */
	private static final long RESTART_MILLIS = 3_200;

	/** How long after its start a task crashes its endpoint, in milliseconds. */
	private static final long CRASH_DELAY_MILLIS = 10;

	private static final long FIRST_START_EPOCH_MILLIS = 1_000_000;

	private static final int FIRST_PORT = 1_000;

	private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();

	private RecordedActions actions;

	private PoolScheduler scheduler;

	private final List<TaskRun> crashingRuns = new ArrayList<>();

	private Predicate<TaskId> crashes = (task) -> false;

	private boolean newIdAfterCrash;

	private long restartMillis = RESTART_MILLIS;

	private long runMillis = 60;

	private int seenStartCount;

	private long nowMillis;

	SimulatedEndpoints(PoolScheduler scheduler, RecordedActions actions, int count) {
		this.scheduler = scheduler;
		this.actions = actions;
		for (int index = 0; index < count; index++) {
			Endpoint endpoint = new Endpoint("endpoint-" + index, new HostAddress("10.0.0.1", FIRST_PORT + index),
					FIRST_START_EPOCH_MILLIS);
			this.endpoints.put(endpoint.id, endpoint);
			this.scheduler.endpointListed(endpoint.entry(), this.nowMillis);
		}
		step();
	}

	/**
	 * Lets another owner take over the endpoints. Runs of the previous one continue until
	 * the new one stops them.
	 * @param nextScheduler the scheduler of the new owner
	 * @param nextActions the decisions of that scheduler
	 */
	void changeOwner(PoolScheduler nextScheduler, RecordedActions nextActions) {
		this.scheduler = nextScheduler;
		this.actions = nextActions;
		this.seenStartCount = 0;
		this.endpoints.values().forEach((endpoint) -> nextScheduler.endpointListed(endpoint.entry(), this.nowMillis));
		step();
	}

	/**
	 * Lets crashed endpoints return under new ids, at their addresses.
	 */
	void changeIdsAfterCrashes() {
		this.newIdAfterCrash = true;
	}

	/**
	 * Lets crashed endpoints stay down.
	 */
	void neverRestart() {
		this.restartMillis = Long.MAX_VALUE / 2;
	}

	/**
	 * Sets the tasks that crash the endpoints that start them.
	 * @param crashingTasks tells which tasks do
	 */
	void crashUnder(Predicate<TaskId> crashingTasks) {
		this.crashes = crashingTasks;
	}

	void runMillis(long millis) {
		this.runMillis = millis;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Returns the runs under which an endpoint has crashed.
	 * @return the runs, in the order of the crashes
	 */
	List<TaskRun> crashingRuns() {
		return this.crashingRuns;
	}

	void cut(String id) {
		this.endpoints.get(id).cut = true;
	}

	void reconnect(String id) {
		this.endpoints.get(id).cut = false;
	}

	void crash(String id) {
		this.endpoints.get(id).crash(this.nowMillis);
	}

	int runningCount(String id) {
		return this.endpoints.get(id).runs.size();
	}

	/**
	 * Plays some time.
	 * @param millis the time in milliseconds
	 */
	void play(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			step();
		}
	}

	private void step() {
		this.nowMillis += STEP_MILLIS;
		List<RecordedActions.Start> starts = this.actions.starts();
		for (; this.seenStartCount < starts.size(); this.seenStartCount++) {
			start(starts.get(this.seenStartCount));
		}
		this.actions.stops().forEach((run) -> this.endpoints.values().forEach((endpoint) -> endpoint.stop(run)));
		List.copyOf(this.endpoints.values()).forEach((endpoint) -> endpoint.step(this.nowMillis));
		this.scheduler.tick(this.nowMillis);
	}

	private void start(RecordedActions.Start start) {
		Endpoint endpoint = this.endpoints.get(start.endpointId());
		if (endpoint.isReachable()) {
			endpoint.runs.put(start.run(), this.nowMillis);
			this.scheduler.startAccepted(start.endpointId(), start.run(), this.nowMillis);
		}
		else {
			this.scheduler.startUnanswered(start.endpointId(), start.run(), this.nowMillis);
		}
	}

	/**
	 * An endpoint with its runs and the time at which each was started.
	 */
	private final class Endpoint {

		private final String id;

		private final HostAddress address;

		private final Map<TaskRun, Long> runs = new LinkedHashMap<>();

		private final List<TerminatedRun> terminatedRuns = new ArrayList<>();

		private long startedEpochMillis;

		private long terminationCount;

		private long downUntilMillis = -1;

		private long contactMillis;

		private boolean cut;

		private boolean expired;

		private Endpoint(String id, HostAddress address, long startedEpochMillis) {
			this.id = id;
			this.address = address;
			this.startedEpochMillis = startedEpochMillis;
			this.contactMillis = SimulatedEndpoints.this.nowMillis;
		}

		private EndpointEntry entry() {
			return new EndpointEntry(this.id, "service", this.address, "domain", true, new Resources(64_000, 1_000, 0),
					Set.of(), this.startedEpochMillis);
		}

		private boolean isReachable() {
			return !this.cut && this.downUntilMillis < 0;
		}

		private void step(long now) {
			if (this.downUntilMillis >= 0 && now >= this.downUntilMillis) {
				this.downUntilMillis = -1;
				restart();
			}
			if (this.downUntilMillis < 0) {
				runTasks(now);
			}
			if (isReachable()) {
				renew(now);
			}
			else if (!this.expired && now - this.contactMillis > LEASE_MILLIS) {
				this.expired = true;
				this.runs.clear();
				SimulatedEndpoints.this.scheduler.leaseExpired(this.id, now);
			}
		}

		private void runTasks(long now) {
			List<TaskRun> crashing = this.runs.entrySet()
				.stream()
				.filter((run) -> SimulatedEndpoints.this.crashes.test(run.getKey().task()))
				.filter((run) -> now - run.getValue() >= CRASH_DELAY_MILLIS)
				.map(Map.Entry::getKey)
				.toList();
			if (!crashing.isEmpty()) {
				SimulatedEndpoints.this.crashingRuns.add(crashing.get(0));
				crash(now);
				return;
			}
			List<TaskRun> done = this.runs.entrySet()
				.stream()
				.filter((run) -> now - run.getValue() >= SimulatedEndpoints.this.runMillis)
				.map(Map.Entry::getKey)
				.toList();
			done.forEach((run) -> terminate(run, TerminationKind.DONE));
		}

		private void stop(TaskRun run) {
			if (isReachable() && this.runs.containsKey(run)) {
				terminate(run, TerminationKind.STOPPED);
			}
		}

		private void terminate(TaskRun run, TerminationKind kind) {
			this.runs.remove(run);
			this.terminationCount++;
			this.terminatedRuns.add(new TerminatedRun(this.terminationCount, run, kind));
		}

		private void crash(long now) {
			this.runs.clear();
			this.terminatedRuns.clear();
			this.terminationCount = 0;
			this.startedEpochMillis += 1 + now;
			this.downUntilMillis = now + SimulatedEndpoints.this.restartMillis;
		}

		private void restart() {
			if (!SimulatedEndpoints.this.newIdAfterCrash) {
				return;
			}
			SimulatedEndpoints.this.endpoints.remove(this.id);
			Endpoint next = new Endpoint(this.id + "-next", this.address, this.startedEpochMillis);
			SimulatedEndpoints.this.endpoints.put(next.id, next);
			SimulatedEndpoints.this.scheduler.endpointUnlisted(this.id, SimulatedEndpoints.this.nowMillis);
			SimulatedEndpoints.this.scheduler.endpointListed(next.entry(), SimulatedEndpoints.this.nowMillis);
		}

		private void renew(long now) {
			this.contactMillis = now;
			this.expired = false;
			List<RunningTask> running = this.runs.keySet().stream().map((run) -> new RunningTask(run, 50)).toList();
			EndpointReport report = new EndpointReport(this.startedEpochMillis, now, running,
					List.copyOf(this.terminatedRuns));
			this.terminatedRuns.clear();
			SimulatedEndpoints.this.scheduler.endpointReported(this.id, report, now - 1, now);
		}

	}

}
