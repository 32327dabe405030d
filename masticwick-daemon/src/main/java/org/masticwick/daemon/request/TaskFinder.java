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
 * Looks up tasks on endpoints by their ids and waits for the results of those that are
 * running.
 */
public final class TaskFinder {

	private static final int MAX_CONCURRENT_TASK_COUNT = 16;

	private static final long LOOKUP_INTERVAL_MILLIS = 200;

	private static final int MAX_UNREACHABLE_COUNT = 3;

	private final EndpointClient client;

	private final Metrics metrics;

	private final TimeSource time;

	/**
	 * Creates a finder.
	 * @param client sends requests to the endpoints
	 * @param metrics counts the lookups
	 * @param time the clock
	 */
	public TaskFinder(EndpointClient client, Metrics metrics, TimeSource time) {
		this.client = client;
		this.metrics = metrics;
		this.time = time;
	}

	/**
	 * Finds the tasks of a job. A limited number of tasks is looked up at the same time.
	 * @param ticket the ticket of the job
	 * @param taskCount the number of tasks of the job
	 * @param endpoints the endpoints that may run the tasks, the most likely first
	 * @param deadlineNanos when to stop waiting for running tasks, in nanoseconds on the
	 * monotonic clock
	 * @return the states and results in the order of the tasks
	 */
	CompletableFuture<List<FoundTask>> find(String ticket, int taskCount, List<HostAddress> endpoints,
			long deadlineNanos) {
		FoundTask[] foundTasks = new FoundTask[taskCount];
		CompletableFuture<?>[] chains = IntStream.range(0, Math.min(MAX_CONCURRENT_TASK_COUNT, taskCount))
			.mapToObj(
					(firstIndex) -> findEveryNth(new Search(ticket, endpoints, deadlineNanos), foundTasks, firstIndex))
			.toArray(CompletableFuture<?>[]::new);
		return CompletableFuture.allOf(chains).thenApply((done) -> List.of(foundTasks));
	}

	/**
	 * Finds a task and, one after the other, every task whose index is a multiple of
	 * {@link #MAX_CONCURRENT_TASK_COUNT} further.
	 * @param search the parameters of the search
	 * @param foundTasks receives each task at its index
	 * @param index the index of the first task
	 * @return completes when all of these tasks are found
	 */
	private CompletableFuture<Void> findEveryNth(Search search, FoundTask[] foundTasks, int index) {
		if (index >= foundTasks.length) {
			return CompletableFuture.completedFuture(null);
		}
		return findTask(search, new TaskId(search.ticket(), index), 0, 0).thenCompose((task) -> {
			foundTasks[index] = task;
			return findEveryNth(search, foundTasks, index + MAX_CONCURRENT_TASK_COUNT);
		});
	}

	private CompletableFuture<FoundTask> findTask(Search search, TaskId task, int endpointIndex, int unreachableCount) {
		if (endpointIndex == search.endpoints().size()) {
			return CompletableFuture.completedFuture(FoundTask.UNKNOWN);
		}
		HostAddress endpoint = search.endpoints().get(endpointIndex);
		return lookUp(endpoint, task).thenCompose((reply) -> switch (reply.state()) {
			case FINISHED -> CompletableFuture.completedFuture(new FoundTask(TaskState.SUCCEEDED, reply.result()));
			case FAILED -> CompletableFuture.completedFuture(FoundTask.FAILED);
			case RUNNING -> afterInterval(() -> awaitTermination(search, endpoint, task, 0));
			case UNKNOWN -> findTask(search, task, endpointIndex + 1, 0);
			case UNREACHABLE -> (unreachableCount < MAX_UNREACHABLE_COUNT)
					? afterInterval(() -> findTask(search, task, endpointIndex, unreachableCount + 1))
					: findTask(search, task, endpointIndex + 1, 0);
		});
	}

	private CompletableFuture<FoundTask> awaitTermination(Search search, HostAddress endpoint, TaskId task,
			int unreachableCount) {
		if (this.time.nanoTime() - search.deadlineNanos() >= 0 || unreachableCount > MAX_UNREACHABLE_COUNT) {
			return CompletableFuture.completedFuture(FoundTask.UNKNOWN);
		}
		return lookUp(endpoint, task).thenCompose((reply) -> switch (reply.state()) {
			case FINISHED -> CompletableFuture.completedFuture(new FoundTask(TaskState.SUCCEEDED, reply.result()));
			case FAILED -> CompletableFuture.completedFuture(FoundTask.FAILED);
			case RUNNING -> afterInterval(() -> awaitTermination(search, endpoint, task, 0));
			case UNKNOWN -> CompletableFuture.completedFuture(FoundTask.UNKNOWN);
			case UNREACHABLE -> afterInterval(() -> awaitTermination(search, endpoint, task, unreachableCount + 1));
		});
	}

	private CompletableFuture<LookupReply> lookUp(HostAddress endpoint, TaskId task) {
		this.metrics.countMessage(MessageKind.LOOKUP);
		this.metrics.countWastedMessage(WasteKind.LOOKUP);
		return this.client.lookup(endpoint, task).exceptionally((ex) -> new LookupReply(LookupState.UNREACHABLE, null));
	}

	private static CompletableFuture<FoundTask> afterInterval(Supplier<CompletableFuture<FoundTask>> step) {
		Executor delayed = CompletableFuture.delayedExecutor(LOOKUP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		return CompletableFuture.supplyAsync(step, delayed).thenCompose(Function.identity());
	}

	/**
	 * Holds the parameters of a search.
	 *
	 * @param ticket the ticket of the job
	 * @param endpoints the endpoints that may run the tasks, the most likely first
	 * @param deadlineNanos when to stop waiting for running tasks, in nanoseconds on the
	 * monotonic clock
	 */
	private record Search(String ticket, List<HostAddress> endpoints, long deadlineNanos) {

	}

	/**
	 * Describes a task as found on the endpoints.
	 *
	 * @param state {@link TaskState#SUCCEEDED}, {@link TaskState#FAILED} or
	 * {@link TaskState#UNKNOWN}
	 * @param result the result if it succeeded, else {@code null}
	 */
	record FoundTask(TaskState state, String result) {

		static final FoundTask UNKNOWN = new FoundTask(TaskState.UNKNOWN, null);

		static final FoundTask FAILED = new FoundTask(TaskState.FAILED, null);

	}

}
