package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.RunningTask;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationKind;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;

/**
 * In-memory endpoints with leases and fencing tokens. They record each task that runs
 * twice at a time, and each that is started again after it was done.
 */
final class InMemoryEndpoints {

	private final Map<String, Endpoint> endpoints = new HashMap<>();

	private final Map<TaskId, Integer> runningCounts = new HashMap<>();

	private final List<TaskId> concurrentlyRunTasks = new ArrayList<>();

	private final Set<TaskId> doneTasks = new HashSet<>();

	private final List<TaskId> restartedTasks = new ArrayList<>();

	/** After how long a command counts as unanswered, in milliseconds. */
	private static final long COMMAND_TIMEOUT_MILLIS = 120;

	/** How long an endpoint is down after a crash, in milliseconds. */
	private static final long RESTART_MILLIS = 600;

	/** The longest lease that an endpoint grants, in milliseconds. */
	private static final long MAX_LEASE_MILLIS = 1_000;

	private final long runMillis;

	private final List<TaskRun> crashingRuns = new ArrayList<>();

	private Predicate<TaskId> crashes = (task) -> false;

	private final Map<String, Integer> renewalCounts = new HashMap<>();

	private final Map<String, Integer> maxRunningCounts = new HashMap<>();

	private final Map<String, Integer> startCounts = new HashMap<>();

	private volatile Function<String, CommandFate> fates = (endpointId) -> CommandFate.NORMAL;

	private int startCount;

	private boolean holdingRuns;

	private final Set<TaskRun> stoppedRuns = new HashSet<>();

	InMemoryEndpoints(long runMillis) {
		this.runMillis = runMillis;
	}

	/**
	 * Sets what becomes of starts, stops and renewals.
	 * @param fateByEndpoint the fate of a command to the endpoint with an id
	 */
	void decideFates(Function<String, CommandFate> fateByEndpoint) {
		this.fates = fateByEndpoint;
	}

	/**
	 * Sets the tasks that crash the endpoints that start them.
	 * @param crashingTasks tells which tasks do
	 */
	synchronized void crashUnder(Predicate<TaskId> crashingTasks) {
		this.crashes = crashingTasks;
	}

	/**
	 * Lets no run end by itself from now on; they are stopped or their leases expire.
	 */
	synchronized void holdRuns() {
		this.holdingRuns = true;
	}

	/**
	 * Returns the runs that are running.
	 * @return the runs
	 */
	synchronized Set<TaskRun> runningRuns() {
		terminateDueRuns();
		return this.endpoints.values()
			.stream()
			.flatMap((endpoint) -> endpoint.startMillisByRun.keySet().stream())
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the runs that were stopped while they were running.
	 * @return the runs
	 */
	synchronized Set<TaskRun> stoppedRuns() {
		return Set.copyOf(this.stoppedRuns);
	}

	/**
	 * Returns the runs under which endpoints have crashed.
	 * @return the runs, in the order of the crashes
	 */
	synchronized List<TaskRun> crashingRuns() {
		return List.copyOf(this.crashingRuns);
	}

	private synchronized boolean isDown(EndpointEntry entry) {
		Endpoint endpoint = this.endpoints.get(entry.id());
		return endpoint != null && nowMillis() < endpoint.downUntilMillis;
	}

	synchronized List<TaskId> concurrentlyRunTasks() {
		return List.copyOf(this.concurrentlyRunTasks);
	}

	/**
	 * Returns the tasks that were started again after they were done.
	 * @return the tasks
	 */
	synchronized List<TaskId> restartedTasks() {
		return List.copyOf(this.restartedTasks);
	}

	synchronized int doneCount() {
		terminateDueRuns();
		return this.doneTasks.size();
	}

	/**
	 * Returns how often the lease of an endpoint was renewed.
	 * @param endpointId the id of the endpoint
	 * @return the number of renewals
	 */
	synchronized int renewalCount(String endpointId) {
		return this.renewalCounts.getOrDefault(endpointId, 0);
	}

	/**
	 * Returns how many tasks were running on an endpoint at most.
	 * @param endpointId the id of the endpoint
	 * @return the highest number at any time
	 */
	synchronized int maxRunningCount(String endpointId) {
		return this.maxRunningCounts.getOrDefault(endpointId, 0);
	}

	synchronized int startCount() {
		return this.startCount;
	}

	/**
	 * Returns how many runs were started on an endpoint.
	 * @param endpointId the id of the endpoint
	 * @return the number of runs
	 */
	synchronized int startCount(String endpointId) {
		return this.startCounts.getOrDefault(endpointId, 0);
	}

	/**
	 * Lets an endpoint crash, so that its runs are lost. It starts again under its id,
	 * with a clock of its own.
	 * @param endpointId the id of the endpoint
	 */
	synchronized void crash(String endpointId) {
		terminateDueRuns();
		this.endpoints.get(endpointId).crash();
	}

	synchronized int runningCount() {
		terminateDueRuns();
		return this.runningCounts.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Returns how many ends of runs the endpoints list because no owner has acknowledged
	 * them.
	 * @return the number of ends
	 */
	synchronized int unacknowledgedCount() {
		terminateDueRuns();
		return this.endpoints.values().stream().mapToInt((endpoint) -> endpoint.terminatedRuns.size()).sum();
	}

	private static long nowMillis() {
		return Clock.nowMillis();
	}

	private void terminateDueRuns() {
		this.endpoints.values().forEach(Endpoint::terminateDueRuns);
	}

	EndpointCalls clientOn(EventLoop eventLoop) {
		return new Client(eventLoop);
	}

	private synchronized Optional<StartRefusal> start(EndpointEntry entry, TaskRun run, long fencingToken,
			long leaseEndMillis) {
		Endpoint endpoint = this.endpoints.computeIfAbsent(entry.id(), (id) -> new Endpoint());
		terminateDueRuns();
		if (fencingToken < endpoint.fencingToken) {
			return Optional.of(StartRefusal.FENCED);
		}
		endpoint.fencingToken = fencingToken;
		if (leaseEndMillis <= endpoint.clockMillis()) {
			return Optional.of(StartRefusal.EXPIRED);
		}
		endpoint.extendLease(leaseEndMillis);
		if (endpoint.isEnded(run)) {
			return Optional.of(StartRefusal.STALE_RUN);
		}
		if (endpoint.startMillisByRun.putIfAbsent(run, nowMillis()) == null) {
			this.startCount++;
			this.startCounts.merge(entry.id(), 1, Integer::sum);
			this.maxRunningCounts.merge(entry.id(), endpoint.startMillisByRun.size(), Math::max);
			if (this.doneTasks.contains(run.task())) {
				this.restartedTasks.add(run.task());
			}
			if (this.runningCounts.merge(run.task(), 1, Integer::sum) > 1) {
				this.concurrentlyRunTasks.add(run.task());
			}
		}
		if (this.crashes.test(run.task())) {
			this.crashingRuns.add(run);
			endpoint.crash();
		}
		return Optional.empty();
	}

	private synchronized boolean stop(EndpointEntry entry, TaskRun run, long fencingToken) {
		Endpoint endpoint = this.endpoints.computeIfAbsent(entry.id(), (id) -> new Endpoint());
		terminateDueRuns();
		if (fencingToken < endpoint.fencingToken) {
			return false;
		}
		endpoint.fencingToken = fencingToken;
		endpoint.terminate(run, TerminationKind.STOPPED);
		endpoint.recordEnd(run);
		return true;
	}

	private synchronized Optional<EndpointReport> renew(EndpointEntry entry, long fencingToken, long acknowledgedNumber,
			OptionalLong leaseEndMillis) {
		this.renewalCounts.merge(entry.id(), 1, Integer::sum);
		Endpoint endpoint = this.endpoints.computeIfAbsent(entry.id(), (id) -> new Endpoint());
		terminateDueRuns();
		if (fencingToken < endpoint.fencingToken) {
			return Optional.empty();
		}
		endpoint.fencingToken = fencingToken;
		leaseEndMillis.ifPresent(endpoint::extendLease);
		endpoint.terminatedRuns.removeIf((terminatedRun) -> terminatedRun.number() <= acknowledgedNumber);
		List<RunningTask> running = endpoint.startMillisByRun.entrySet()
			.stream()
			.map((runEntry) -> new RunningTask(runEntry.getKey(), progressPercent(runEntry.getValue())))
			.toList();
		return Optional.of(new EndpointReport(endpoint.startedEpochMillis, endpoint.clockMillis(), running,
				List.copyOf(endpoint.terminatedRuns)));
	}

	private int progressPercent(long startedMillis) {
		return (int) Math.min(99, (nowMillis() - startedMillis) * 100 / this.runMillis);
	}

	private final class Endpoint {

		private final Map<TaskRun, Long> startMillisByRun = new HashMap<>();

		private final List<TerminatedRun> terminatedRuns = new ArrayList<>();

		/** The highest number of a run that was stopped or has ended, by task. */
		private final Map<TaskId, Integer> endedRunNumbers = new HashMap<>();

		private long fencingToken;

		private long leaseEndMillis;

		private long terminationCount;

		private long startedEpochMillis = 1;

		private long downUntilMillis;

		/** When the clock of the present incarnation was zero. */
		private long clockStartMillis;

		private long clockMillis() {
			return nowMillis() - this.clockStartMillis;
		}

		private void extendLease(long endMillis) {
			this.leaseEndMillis = Math.max(this.leaseEndMillis, Math.min(endMillis, clockMillis() + MAX_LEASE_MILLIS));
		}

		private void crash() {
			this.startMillisByRun.keySet()
				.forEach((run) -> InMemoryEndpoints.this.runningCounts.merge(run.task(), -1, Integer::sum));
			this.startMillisByRun.clear();
			this.terminatedRuns.clear();
			this.endedRunNumbers.clear();
			this.terminationCount = 0;
			this.fencingToken = 0;
			this.startedEpochMillis++;
			this.leaseEndMillis = 0;
			this.clockStartMillis = nowMillis();
			this.downUntilMillis = nowMillis() + RESTART_MILLIS;
		}

		private void terminateDueRuns() {
			long nowMillis = nowMillis();
			Map.copyOf(this.startMillisByRun).forEach((run, startedMillis) -> {
				if (!InMemoryEndpoints.this.holdingRuns
						&& startedMillis + InMemoryEndpoints.this.runMillis <= nowMillis) {
					terminate(run, TerminationKind.DONE);
				}
				else if (this.leaseEndMillis <= clockMillis()) {
					terminate(run, TerminationKind.LAPSED);
				}
			});
		}

		private void recordEnd(TaskRun run) {
			this.endedRunNumbers.merge(run.task(), run.number(), Math::max);
		}

		private boolean isEnded(TaskRun run) {
			return this.endedRunNumbers.getOrDefault(run.task(), 0) >= run.number();
		}

		private void terminate(TaskRun run, TerminationKind kind) {
			if (this.startMillisByRun.remove(run) != null) {
				recordEnd(run);
				this.terminationCount++;
				this.terminatedRuns.add(new TerminatedRun(this.terminationCount, run, kind));
				if (kind == TerminationKind.DONE) {
					InMemoryEndpoints.this.doneTasks.add(run.task());
				}
				if (kind == TerminationKind.STOPPED) {
					InMemoryEndpoints.this.stoppedRuns.add(run);
				}
				InMemoryEndpoints.this.runningCounts.merge(run.task(), -1, Integer::sum);
			}
		}

	}

	/**
	 * What becomes of a command to an endpoint.
	 *
	 * @param delayMillis how late the endpoint executes it, in milliseconds
	 * @param answered whether its answer arrives
	 */
	record CommandFate(long delayMillis, boolean answered) {

		/** The command is executed and answered at once. */
		static final CommandFate NORMAL = new CommandFate(0, true);

	}

	private final class Client implements EndpointCalls {

		private final EventLoop eventLoop;

		private Client(EventLoop eventLoop) {
			this.eventLoop = eventLoop;
		}

		private <T> CompletableFuture<T> completeAfter(T value, long delayMillis) {
			CompletableFuture<T> answer = new CompletableFuture<>();
			this.eventLoop.schedule(() -> answer.complete(value), delayMillis, TimeUnit.MILLISECONDS);
			return answer;
		}

		private <T> CompletableFuture<T> execute(EndpointEntry endpoint, Supplier<T> command) {
			if (isDown(endpoint)) {
				return unreachable();
			}
			CommandFate fate = InMemoryEndpoints.this.fates.apply(endpoint.id());
			if (fate.delayMillis() == 0 && fate.answered()) {
				return completeAfter(command.get(), 1);
			}
			CompletableFuture<T> answer = new CompletableFuture<>();
			this.eventLoop.schedule(
					() -> answer.completeExceptionally(
							new CallException(CallException.Code.TIMEOUT, "The endpoint has not answered in time")),
					COMMAND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			this.eventLoop.schedule(() -> executeLate(endpoint, command, fate, answer), fate.delayMillis(),
					TimeUnit.MILLISECONDS);
			return answer;
		}

		private <T> void executeLate(EndpointEntry endpoint, Supplier<T> command, CommandFate fate,
				CompletableFuture<T> answer) {
			if (isDown(endpoint)) {
				return;
			}
			T result = command.get();
			if (fate.answered()) {
				answer.complete(result);
			}
		}

		private <T> CompletableFuture<T> unreachable() {
			CompletableFuture<T> answer = new CompletableFuture<>();
			this.eventLoop.schedule(
					() -> answer
						.completeExceptionally(new CallException(CallException.Code.NOT_SENT, "The endpoint is down")),
					1, TimeUnit.MILLISECONDS);
			return answer;
		}

		@Override
		public CompletableFuture<Optional<StartRefusal>> start(EndpointEntry endpoint, TaskRun run, String payload,
				String checkpoint, long fencingToken, long leaseEndMillis) {
			return execute(endpoint, () -> InMemoryEndpoints.this.start(endpoint, run, fencingToken, leaseEndMillis));
		}

		@Override
		public CompletableFuture<Boolean> stop(EndpointEntry endpoint, TaskRun run, long fencingToken) {
			return execute(endpoint, () -> InMemoryEndpoints.this.stop(endpoint, run, fencingToken));
		}

		@Override
		public CompletableFuture<Optional<EndpointReport>> renew(EndpointEntry endpoint, long fencingToken,
				long acknowledgedNumber, OptionalLong leaseEndMillis, long waitMillis, long timeoutMillis) {
			if (isDown(endpoint)) {
				return unreachable();
			}
			CompletableFuture<Optional<EndpointReport>> answer = new CompletableFuture<>();
			Optional<EndpointReport> first = InMemoryEndpoints.this.renew(endpoint, fencingToken, acknowledgedNumber,
					leaseEndMillis);
			this.eventLoop.schedule(() -> {
				if (isDown(endpoint)) {
					answer.completeExceptionally(new CallException(CallException.Code.BROKEN, "The endpoint is down"));
					return;
				}
				answer.complete(first.flatMap((report) -> InMemoryEndpoints.this.renew(endpoint, fencingToken,
						acknowledgedNumber, OptionalLong.empty())));
			}, 10, TimeUnit.MILLISECONDS);
			return answer;
		}

	}

}
