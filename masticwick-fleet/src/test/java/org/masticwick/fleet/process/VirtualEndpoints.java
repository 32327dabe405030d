package org.masticwick.fleet.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.fleet.connection.CallException;
import org.masticwick.fleet.connection.EndpointCalls;

/**
 * The endpoints of a simulated site, and the paths on which hosts reach them. A call
 * without an answer may be executed late, also by the next life of the endpoint. Records
 * each task that runs twice at a time.
 */
final class VirtualEndpoints {

	private static final long COMMAND_TIMEOUT_MILLIS = 120;

	private static final int MIN_LATE_MILLIS = 2_000;

	private static final int LATE_SPREAD_MILLIS = 10_000;

	private static final int MAX_LATENCY_MICROS = 2_000;

	private final VirtualTime time;

	private final Random random;

	private final VirtualTrace trace;

	private final Map<String, VirtualEndpoint> endpoints = new LinkedHashMap<>();

	/** How the calls to an endpoint are lost, by its id. */
	private final Map<String, Loss> losses = new HashMap<>();

	private final Map<String, Long> unreachableUntilMicros = new HashMap<>();

	private final List<TaskId> concurrentlyRunTasks = new ArrayList<>();

	private int startCount;

	VirtualEndpoints(VirtualTime time, Random random, VirtualTrace trace) {
		this.time = time;
		this.random = random;
		this.trace = trace;
	}

	void add(String endpointId) {
		double clockRate = 1 - this.random.nextInt(21) / 1_000.0;
		this.endpoints.put(endpointId,
				new VirtualEndpoint(endpointId, this.time, VirtualEndpoints::runMillis, clockRate));
	}

	/**
	 * Returns how long a task runs, which its name determines.
	 * @param task the task
	 * @return the time in milliseconds
	 */
	static long runMillis(TaskId task) {
		return runMillis(task.jobId());
	}

	/**
	 * Returns how long each task of a job runs.
	 * @param jobId the id of the job
	 * @return the time in milliseconds
	 */
	static long runMillis(String jobId) {
		return 100 + Math.floorMod(jobId.hashCode() * 31L, 3_400L);
	}

	/**
	 * Returns the endpoints that run a task.
	 * @param task the task
	 * @return their ids
	 */
	List<String> running(TaskId task) {
		return ids().stream().filter((id) -> find(id).runCount(task) > 0).toList();
	}

	List<String> ids() {
		return List.copyOf(this.endpoints.keySet());
	}

	VirtualEndpoint find(String endpointId) {
		return this.endpoints.get(endpointId);
	}

	List<TaskId> concurrentlyRunTasks() {
		return List.copyOf(this.concurrentlyRunTasks);
	}

	int startCount() {
		return this.startCount;
	}

	/**
	 * Loses a share of the calls to an endpoint for a while.
	 * @param endpointId the id of the endpoint
	 * @param loss how calls are lost
	 */
	void lose(String endpointId, Loss loss) {
		this.losses.put(endpointId, loss);
	}

	/**
	 * Cuts the path from a host to an endpoint for a while.
	 * @param hostName the name of the host
	 * @param endpointId the id of the endpoint
	 * @param millis for how long, in milliseconds
	 */
	void cut(String hostName, String endpointId, long millis) {
		this.unreachableUntilMicros.put(hostName + ">" + endpointId,
				this.time.nowMicros() + TimeUnit.MILLISECONDS.toMicros(millis));
	}

	EndpointCalls clientOf(String hostName, VirtualEventLoop eventLoop) {
		return new Client(hostName, eventLoop);
	}

	private Optional<StartRefusal> start(String hostName, VirtualEndpoint endpoint, TaskRun run, long token,
			long endMillis) {
		this.endpoints.values().forEach(VirtualEndpoint::terminateDueRuns);
		Optional<StartRefusal> refusal = endpoint.start(run, token, endMillis);
		this.trace.job(run.task().jobId(), endpoint.id(), "start " + run + " token " + token + " of " + hostName + ": "
				+ refusal.map(StartRefusal::name).orElse("runs " + runMillis(run.task()) + " ms"));
		if (refusal.isEmpty()) {
			this.startCount++;
			if (this.endpoints.values().stream().mapToLong((each) -> each.runCount(run.task())).sum() > 1) {
				this.concurrentlyRunTasks.add(run.task());
				this.trace.job(run.task().jobId(), endpoint.id(), "TWO RUNS AT ONCE");
			}
		}
		return refusal;
	}

	/**
	 * How calls are lost.
	 *
	 * @param share the share of the calls that get no answer, from 0 to 1
	 * @param lateShare the share of those that are executed late, from 0 to 1
	 * @param granted whether the lease of a late start counts from its arrival
	 * @param untilMicros when the calls are answered again, in microseconds
	 */
	record Loss(double share, double lateShare, boolean granted, long untilMicros) {
	}

	/**
	 * A call, which is executed with the time by which its lease is extended.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	private interface Command<T> {

		T execute(long grantedMillis);

	}

	private final class Client implements EndpointCalls {

		private final String hostName;

		private final VirtualEventLoop eventLoop;

		private Client(String hostName, VirtualEventLoop eventLoop) {
			this.hostName = hostName;
			this.eventLoop = eventLoop;
		}

		private boolean isCut(String endpointId) {
			return VirtualEndpoints.this.time.nowMicros() < VirtualEndpoints.this.unreachableUntilMicros
				.getOrDefault(this.hostName + ">" + endpointId, 0L);
		}

		private <T> CompletableFuture<T> call(VirtualEndpoint endpoint, long timeoutMillis, Command<T> command,
				Function<T, Long> answerDelayMillis) {
			VirtualTime time = VirtualEndpoints.this.time;
			CompletableFuture<T> answer = new CompletableFuture<>();
			fail(answer, CallException.Code.TIMEOUT, timeoutMillis);
			if (endpoint.isDown()) {
				fail(answer, CallException.Code.NOT_SENT, 1);
				return answer;
			}
			Random random = VirtualEndpoints.this.random;
			Loss loss = VirtualEndpoints.this.losses.get(endpoint.id());
			boolean lossy = loss != null && time.nowMicros() < loss.untilMicros() && random.nextDouble() < loss.share();
			if (!lossy && !isCut(endpoint.id())) {
				time.after(random.nextInt(MAX_LATENCY_MICROS),
						() -> execute(endpoint, command, answerDelayMillis, answer));
			}
			else if (lossy && random.nextDouble() < loss.lateShare()) {
				long lateMillis = random.nextBoolean() ? 0 : MIN_LATE_MILLIS + random.nextInt(LATE_SPREAD_MILLIS);
				time.afterMillis(lateMillis, () -> executeLate(endpoint, command, loss.granted() ? lateMillis : 0));
			}
			return answer;
		}

		private <T> void executeLate(VirtualEndpoint endpoint, Command<T> command, long grantedMillis) {
			if (!endpoint.isDown()) {
				command.execute(grantedMillis);
			}
		}

		private <T> void execute(VirtualEndpoint endpoint, Command<T> command, Function<T, Long> answerDelayMillis,
				CompletableFuture<T> answer) {
			VirtualTime time = VirtualEndpoints.this.time;
			if (endpoint.isDown()) {
				fail(answer, CallException.Code.BROKEN, 1);
				return;
			}
			T first = command.execute(0);
			long life = endpoint.startedEpochMillis();
			long waitMillis = answerDelayMillis.apply(first);
			time.afterMillis(waitMillis, () -> {
				if (endpoint.startedEpochMillis() != life) {
					fail(answer, CallException.Code.BROKEN, 1);
				}
				else if (!isCut(endpoint.id())) {
					T result = (waitMillis > 0) ? command.execute(0) : first;
					time.after(VirtualEndpoints.this.random.nextInt(MAX_LATENCY_MICROS),
							() -> this.eventLoop.execute(() -> answer.complete(result)));
				}
			});
		}

		private <T> void fail(CompletableFuture<T> answer, CallException.Code code, long delayMillis) {
			this.eventLoop.schedule(() -> {
				if (!answer.isDone()) {
					answer.completeExceptionally(new CallException(code, "No answer"));
				}
			}, delayMillis, TimeUnit.MILLISECONDS);
		}

		@Override
		public CompletableFuture<Optional<StartRefusal>> start(EndpointEntry entry, TaskRun run, String payload,
				String checkpoint, long fencingToken, long leaseEndMillis) {
			VirtualEndpoint endpoint = find(entry.id());
			VirtualEndpoints.this.trace.job(run.task().jobId(), this.hostName,
					"asks " + entry.id() + " to start " + run);
			return call(endpoint, COMMAND_TIMEOUT_MILLIS, (grantedMillis) -> VirtualEndpoints.this.start(this.hostName,
					endpoint, run, fencingToken, leaseEndMillis + grantedMillis), (refusal) -> 0L);
		}

		@Override
		public CompletableFuture<Boolean> stop(EndpointEntry entry, TaskRun run, long fencingToken) {
			VirtualEndpoint endpoint = find(entry.id());
			VirtualEndpoints.this.trace.job(run.task().jobId(), this.hostName,
					"asks " + entry.id() + " to stop " + run);
			return call(endpoint, COMMAND_TIMEOUT_MILLIS, (grantedMillis) -> {
				boolean accepted = endpoint.stop(run, fencingToken);
				VirtualEndpoints.this.trace.job(run.task().jobId(), endpoint.id(), "stop " + run + ": " + accepted);
				return accepted;
			}, (accepted) -> 0L);
		}

		@Override
		public CompletableFuture<Optional<EndpointReport>> renew(EndpointEntry entry, long fencingToken,
				long acknowledgedNumber, OptionalLong leaseEndMillis, long waitMillis, long timeoutMillis) {
			VirtualEndpoint endpoint = find(entry.id());
			boolean[] renewed = new boolean[1];
			return call(endpoint, timeoutMillis, (grantedMillis) -> {
				OptionalLong endMillis = (renewed[0]) ? OptionalLong.empty() : leaseEndMillis;
				renewed[0] = true;
				return endpoint.renew(fencingToken, acknowledgedNumber, endMillis);
			}, (report) -> report.isEmpty() ? 0L : endpoint.answerDelayMillis(waitMillis));
		}

	}

}
