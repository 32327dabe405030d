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

import io.netty.channel.EventLoop;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.core.pool.EndpointReport;
import org.masticwick.core.pool.RunningTask;
import org.masticwick.core.pool.StartRefusal;
import org.masticwick.core.pool.TaskId;
import org.masticwick.core.pool.TaskRun;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationKind;
import org.masticwick.fleet.connection.EndpointCalls;

/**
 * Endpoints in memory with leases and fencing tokens. They note each task that runs twice
 * at a time.
 */
final class MemoryEndpoints {

	private final Map<String, Endpoint> endpoints = new HashMap<>();

	private final Map<TaskId, Integer> runningCounts = new HashMap<>();

	private final List<TaskId> doubled = new ArrayList<>();

	private final Set<TaskId> done = new HashSet<>();

	private final List<TaskId> startedAgain = new ArrayList<>();

	private final long runMillis;

	private int startCount;

	MemoryEndpoints(long runMillis) {
		this.runMillis = runMillis;
	}

	synchronized List<TaskId> doubled() {
		return List.copyOf(this.doubled);
	}

	/**
	 * Returns the tasks that were started after they were done.
	 * @return the tasks
	 */
	synchronized List<TaskId> startedAgain() {
		return List.copyOf(this.startedAgain);
	}

	synchronized int doneCount() {
		sweep();
		return this.done.size();
	}

	synchronized int startCount() {
		return this.startCount;
	}

	synchronized int runningCount() {
		sweep();
		return this.runningCounts.values().stream().mapToInt(Integer::intValue).sum();
	}

	private static long now() {
		return Clock.nowMillis();
	}

	private void sweep() {
		this.endpoints.values().forEach(Endpoint::sweep);
	}

	EndpointCalls seenBy(EventLoop eventLoop) {
		return new View(eventLoop);
	}

	private synchronized Optional<StartRefusal> start(EndpointEntry entry, TaskRun run, long token, long leaseEnd) {
		Endpoint endpoint = this.endpoints.computeIfAbsent(entry.id(), (id) -> new Endpoint());
		sweep();
		if (token < endpoint.token) {
			return Optional.of(StartRefusal.FENCED);
		}
		endpoint.token = token;
		if (leaseEnd <= now()) {
			return Optional.of(StartRefusal.EXPIRED);
		}
		endpoint.leaseEndMillis = Math.max(endpoint.leaseEndMillis, leaseEnd);
		if (endpoint.running.putIfAbsent(run, now()) == null) {
			this.startCount++;
			if (this.done.contains(run.task())) {
				this.startedAgain.add(run.task());
			}
			if (this.runningCounts.merge(run.task(), 1, Integer::sum) > 1) {
				this.doubled.add(run.task());
			}
		}
		return Optional.empty();
	}

	private synchronized boolean stop(EndpointEntry entry, TaskRun run, long token) {
		Endpoint endpoint = this.endpoints.computeIfAbsent(entry.id(), (id) -> new Endpoint());
		sweep();
		if (token < endpoint.token) {
			return false;
		}
		endpoint.token = token;
		endpoint.end(run, TerminationKind.STOPPED);
		return true;
	}

	private synchronized Optional<EndpointReport> renew(EndpointEntry entry, long token, long acknowledged,
			OptionalLong leaseEnd) {
		Endpoint endpoint = this.endpoints.computeIfAbsent(entry.id(), (id) -> new Endpoint());
		sweep();
		if (token < endpoint.token) {
			return Optional.empty();
		}
		endpoint.token = token;
		leaseEnd.ifPresent((end) -> endpoint.leaseEndMillis = Math.max(endpoint.leaseEndMillis, end));
		endpoint.ended.removeIf((ended) -> ended.number() <= acknowledged);
		List<RunningTask> running = endpoint.running.entrySet()
			.stream()
			.map((each) -> new RunningTask(each.getKey(), percent(each.getValue())))
			.toList();
		return Optional.of(new EndpointReport(1, now(), running, List.copyOf(endpoint.ended)));
	}

	private int percent(long beganMillis) {
		return (int) Math.min(99, (now() - beganMillis) * 100 / this.runMillis);
	}

	private final class Endpoint {

		private final Map<TaskRun, Long> running = new HashMap<>();

		private final List<TerminatedRun> ended = new ArrayList<>();

		private long token;

		private long leaseEndMillis;

		private long endCount;

		private void sweep() {
			long nowMillis = now();
			Map.copyOf(this.running).forEach((run, beganMillis) -> {
				if (beganMillis + MemoryEndpoints.this.runMillis <= nowMillis) {
					end(run, TerminationKind.DONE);
				}
				else if (this.leaseEndMillis <= nowMillis) {
					end(run, TerminationKind.LAPSED);
				}
			});
		}

		private void end(TaskRun run, TerminationKind kind) {
			if (this.running.remove(run) != null) {
				this.endCount++;
				this.ended.add(new TerminatedRun(this.endCount, run, kind));
				if (kind == TerminationKind.DONE) {
					MemoryEndpoints.this.done.add(run.task());
				}
				MemoryEndpoints.this.runningCounts.merge(run.task(), -1, Integer::sum);
			}
		}

	}

	private final class View implements EndpointCalls {

		private final EventLoop eventLoop;

		private View(EventLoop eventLoop) {
			this.eventLoop = eventLoop;
		}

		private <T> CompletableFuture<T> later(T value, long delayMillis) {
			CompletableFuture<T> answer = new CompletableFuture<>();
			this.eventLoop.schedule(() -> answer.complete(value), delayMillis, TimeUnit.MILLISECONDS);
			return answer;
		}

		@Override
		public CompletableFuture<Optional<StartRefusal>> start(EndpointEntry endpoint, TaskRun run, String payload,
				String checkpoint, long fencingToken, long leaseEndMillis) {
			return later(MemoryEndpoints.this.start(endpoint, run, fencingToken, leaseEndMillis), 1);
		}

		@Override
		public CompletableFuture<Boolean> stop(EndpointEntry endpoint, TaskRun run, long fencingToken) {
			return later(MemoryEndpoints.this.stop(endpoint, run, fencingToken), 1);
		}

		@Override
		public CompletableFuture<Optional<EndpointReport>> renew(EndpointEntry endpoint, long fencingToken,
				long acknowledgedEndNumber, OptionalLong leaseEndMillis, long waitMillis, long timeoutMillis) {
			CompletableFuture<Optional<EndpointReport>> answer = new CompletableFuture<>();
			Optional<EndpointReport> first = MemoryEndpoints.this.renew(endpoint, fencingToken, acknowledgedEndNumber,
					leaseEndMillis);
			this.eventLoop
				.schedule(
						() -> answer.complete(first.flatMap((report) -> MemoryEndpoints.this.renew(endpoint,
								fencingToken, acknowledgedEndNumber, OptionalLong.empty()))),
						10, TimeUnit.MILLISECONDS);
			return answer;
		}

	}

}
