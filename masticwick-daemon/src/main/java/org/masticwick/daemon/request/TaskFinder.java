package org.masticwick.daemon.request;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient;
import org.masticwick.daemon.connection.EndpointClient.LookupReply;
import org.masticwick.daemon.connection.EndpointClient.LookupState;
import org.masticwick.daemon.process.metrics.MessageKind;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.daemon.process.metrics.WasteKind;

/**
 * Finds tasks at endpoints by their ids and waits for their results.
 */
public final class TaskFinder {

	private static final int TASKS_AT_ONCE_COUNT = 16;

	private static final long POLL_MILLIS = 200;

	private static final int MAX_UNREACHABLE_COUNT = 3;

	private final EndpointClient client;

	private final Metrics metrics;

	private final TimeSource time;

	/**
	 * Creates a finder.
	 * @param client the way to the endpoints
	 * @param metrics the metrics
	 * @param time the clock
	 */
	public TaskFinder(EndpointClient client, Metrics metrics, TimeSource time) {
		this.client = client;
		this.metrics = metrics;
		this.time = time;
	}

	/**
	 * Finds the tasks of a job. A few are looked for at a time.
	 * @param ticket the ticket of the job
	 * @param taskCount how many tasks the job has
	 * @param endpoints where they may be, the likeliest first
	 * @param limitNanos when to stop waiting, on the monotonic clock
	 * @return what was found, in the order of the tasks
	 */
	CompletableFuture<List<FoundTask>> find(String ticket, int taskCount, List<HostAddress> endpoints,
			long limitNanos) {
		FoundTask[] found = new FoundTask[taskCount];
		CompletableFuture<?>[] lanes = IntStream.range(0, Math.min(TASKS_AT_ONCE_COUNT, taskCount))
			.mapToObj((lane) -> findLane(new Search(ticket, endpoints, limitNanos), found, lane))
			.toArray(CompletableFuture<?>[]::new);
		return CompletableFuture.allOf(lanes).thenApply((done) -> List.of(found));
	}

	private CompletableFuture<Void> findLane(Search search, FoundTask[] found, int index) {
		if (index >= found.length) {
			return CompletableFuture.completedFuture(null);
		}
		return findTask(search, new TaskId(search.ticket(), index), 0, 0).thenCompose((task) -> {
			found[index] = task;
			return findLane(search, found, index + TASKS_AT_ONCE_COUNT);
		});
	}

	private CompletableFuture<FoundTask> findTask(Search search, TaskId task, int place, int unreachableCount) {
		if (place == search.endpoints().size()) {
			return CompletableFuture.completedFuture(FoundTask.UNKNOWN);
		}
		HostAddress endpoint = search.endpoints().get(place);
		return ask(endpoint, task).thenCompose((reply) -> switch (reply.state()) {
			case FINISHED -> CompletableFuture.completedFuture(new FoundTask(TaskState.SUCCEEDED, reply.result()));
			case FAILED -> CompletableFuture.completedFuture(FoundTask.FAILED);
			case RUNNING -> later(() -> await(search, endpoint, task, 0));
			case UNKNOWN -> findTask(search, task, place + 1, 0);
			case UNREACHABLE -> (unreachableCount < MAX_UNREACHABLE_COUNT)
					? later(() -> findTask(search, task, place, unreachableCount + 1))
					: findTask(search, task, place + 1, 0);
		});
	}

	private CompletableFuture<FoundTask> await(Search search, HostAddress endpoint, TaskId task, int unreachableCount) {
		if (this.time.nanoTime() - search.limitNanos() >= 0 || unreachableCount > MAX_UNREACHABLE_COUNT) {
			return CompletableFuture.completedFuture(FoundTask.UNKNOWN);
		}
		return ask(endpoint, task).thenCompose((reply) -> switch (reply.state()) {
			case FINISHED -> CompletableFuture.completedFuture(new FoundTask(TaskState.SUCCEEDED, reply.result()));
			case FAILED -> CompletableFuture.completedFuture(FoundTask.FAILED);
			case RUNNING -> later(() -> await(search, endpoint, task, 0));
			case UNKNOWN -> CompletableFuture.completedFuture(FoundTask.UNKNOWN);
			case UNREACHABLE -> later(() -> await(search, endpoint, task, unreachableCount + 1));
		});
	}

	private CompletableFuture<LookupReply> ask(HostAddress endpoint, TaskId task) {
		this.metrics.countMessage(MessageKind.LOOKUP);
		this.metrics.countWastedMessage(WasteKind.LOOKUP);
		return this.client.lookup(endpoint, task).exceptionally((ex) -> new LookupReply(LookupState.UNREACHABLE, null));
	}

	private static CompletableFuture<FoundTask> later(Supplier<CompletableFuture<FoundTask>> step) {
		Executor delayed = CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);
		return CompletableFuture.supplyAsync(step, delayed).thenCompose(Function.identity());
	}

	/**
	 * Names what is looked for and where.
	 *
	 * @param ticket the ticket
	 * @param endpoints the endpoints
	 * @param limitNanos when to stop waiting, on the monotonic clock
	 */
	private record Search(String ticket, List<HostAddress> endpoints, long limitNanos) {

	}

	/**
	 * Is what was found of a task.
	 *
	 * @param state succeeded, failed or unknown
	 * @param result the result if it succeeded, else {@code null}
	 */
	record FoundTask(TaskState state, String result) {

		static final FoundTask UNKNOWN = new FoundTask(TaskState.UNKNOWN, null);

		static final FoundTask FAILED = new FoundTask(TaskState.FAILED, null);

	}

}
