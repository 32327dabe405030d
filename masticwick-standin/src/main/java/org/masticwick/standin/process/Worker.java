package org.masticwick.standin.process;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.standin.connection.HttpExchange;
import org.masticwick.standin.connection.HttpListener;
import org.masticwick.standin.connection.HttpResponse;
import org.masticwick.standin.connection.Json;
import org.masticwick.standin.request.PerTaskCounter;
import org.masticwick.standin.request.StartOutcome;
import org.masticwick.standin.request.Task;
import org.masticwick.standin.request.TaskRequest;
import org.masticwick.standin.request.TaskState;
import org.masticwick.standin.request.TaskTable;

/**
 * Simulates one worker, which is an endpoint to the dispatcher. It implements the HTTP
 * contract of endpoints but executes nothing: a task holds a slot until the timer of its
 * run time fires.
 */
final class Worker implements AutoCloseable {

	private static final String TASKS_PATH = "/tasks";

	private static final String BUSY_SLOTS_HEADER = "Task-Busy-Slots";

	private final WorkerOptions options;

	private final EventLoopGroup group;

	private final TimeSource time;

	private final TaskTable tasks;

	private final PerTaskCounter starts;

	private final PerTaskCounter duplicates;

	private final WorkerCounters counters = new WorkerCounters();

	private final WorkerFaults faults = new WorkerFaults();

	private final HttpListener listener;

	private volatile boolean stopped;

	Worker(WorkerOptions options, EventLoopGroup group, TimeSource time, PerTaskCounter starts,
			PerTaskCounter duplicates) {
		this.options = options;
		this.group = group;
		this.time = time;
		this.starts = starts;
		this.duplicates = duplicates;
		this.tasks = new TaskTable(options.slotCount());
		this.listener = new HttpListener(group, options.maxConnectionCount(), this::handle);
	}

	/**
	 * Opens the listener on a port that the operating system chooses.
	 */
	void open() {
		this.listener.open(this.options.ip(), 0);
	}

	@Override
	public void close() {
		this.stopped = true;
		this.listener.close();
	}

	/**
	 * Applies the faults of a request; fields that are {@code null} change nothing. A
	 * stopped worker refuses connections until it is started again; its running tasks
	 * continue.
	 * @param request the faults to set or clear
	 */
	void applyFaults(WorkerFaultRequest request) {
		this.faults.update(request);
		if (Boolean.TRUE.equals(request.silent())) {
			this.listener.makeConnectionsUnresponsive();
		}
		if (Boolean.TRUE.equals(request.stop())) {
			close();
		}
		if (Boolean.TRUE.equals(request.start())) {
			this.stopped = false;
			this.listener.reopen();
		}
	}

	/**
	 * Returns the address that the worker listens on, also while it is stopped.
	 * @return the address, or {@code null} before the worker is opened
	 */
	HostAddress address() {
		return this.listener.address();
	}

	/**
	 * Returns the state of the worker as shown by the admin API.
	 * @return {@code live}, {@code leaving} or {@code stopped}
	 */
	String state() {
		if (this.stopped) {
			return "stopped";
		}
		return this.faults.leaving() ? "leaving" : "live";
	}

	/**
	 * Returns the number of running tasks, each of which holds a slot.
	 * @return the number of tasks
	 */
	int runningCount() {
		return this.tasks.runningCount();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections
	 */
	int openConnectionCount() {
		return this.listener.openConnectionCount();
	}

	/**
	 * Returns the number of requests and tasks by {@link WorkerCounters.Kind}, and of
	 * connections closed at accept because too many were open.
	 * @return the values by counter name
	 */
	Map<String, Long> counters() {
		Map<String, Long> values = this.counters.values();
		values.put("rejected_connections", this.listener.rejectedConnectionCount());
		return values;
	}

	private void handle(HttpExchange exchange) {
		String path = exchange.path();
		if (path.equals(TASKS_PATH) && exchange.method().equals("DELETE")) {
			handleBatchCancel(exchange);
		}
		else if (path.startsWith(TASKS_PATH + "/")) {
			handleTask(exchange, path.substring(TASKS_PATH.length() + 1));
		}
		else {
			respond(exchange, HttpResponse.of(404));
		}
	}

	private void handleTask(HttpExchange exchange, String taskId) {
		switch (exchange.method()) {
			case "POST" -> handleStart(exchange, taskId);
			case "GET" -> handleLookup(exchange, taskId);
			case "DELETE" -> handleCancel(exchange, taskId);
			default -> respond(exchange, HttpResponse.of(405));
		}
	}

	private void handleStart(HttpExchange exchange, String taskId) {
		this.counters.add(WorkerCounters.Kind.POSTS);
		TaskRequest request = TaskRequest.parse(taskId, exchange);
		Task task = new Task(request, this.time.nanoTime(), (terminated) -> respondWithOutcome(exchange, terminated));
		StartOutcome outcome = decideStart(request, task);
		switch (outcome) {
			case STARTED -> run(request, task);
			case DUPLICATE -> {
				this.counters.add(WorkerCounters.Kind.DUPLICATES);
				this.duplicates.increment(taskId);
				respond(exchange, outcome.response().withHeader("Task-Id", taskId));
			}
			default -> {
				this.counters.add(WorkerCounters.Kind.REFUSED);
				respond(exchange, this.faults.doubleIfDue(outcome.response().withHeader("Task-Id", taskId)));
			}
		}
	}

	private StartOutcome decideStart(TaskRequest request, Task task) {
		if (this.tasks.contains(request.taskId(), this.time.nanoTime())) {
			return StartOutcome.DUPLICATE;
		}
		if (!request.service().equals(this.options.service())
				|| request.payload().length > TaskRequest.MAX_PAYLOAD_BYTES) {
			return StartOutcome.NEVER_FITS;
		}
		if (this.faults.leaving()) {
			return StartOutcome.LEAVING;
		}
		return this.faults.refuseAllFull() ? StartOutcome.FULL : this.tasks.start(task, this.time.nanoTime());
	}

	private void run(TaskRequest request, Task task) {
		this.counters.add(WorkerCounters.Kind.STARTED);
		this.starts.increment(task.taskId());
		if (this.faults.drawTaskFailure()) {
			terminate(task, TaskState.FAILED);
			return;
		}
		long runMillis = this.faults.slowedRunMillis(request.requestedRunMillis());
		TaskState finalState = (runMillis < request.leaseMillis()) ? TaskState.FINISHED : TaskState.FAILED;
		this.tasks.attachTimer(task,
				this.group.next()
					.schedule(() -> terminate(task, finalState), Math.min(runMillis, request.leaseMillis()),
							TimeUnit.MILLISECONDS));
	}

	private boolean terminate(Task task, TaskState finalState) {
		return this.tasks.terminate(task, finalState, this.time.nanoTime());
	}

	private void respondWithOutcome(HttpExchange exchange, Task task) {
		if (task.state() != TaskState.FINISHED) {
			respond(exchange,
					HttpResponse.of(500)
						.withHeader("Task-Id", task.taskId())
						.withHeader("Task-Started", "true")
						.withHeader("Task-Reason", task.state().text()));
			return;
		}
		long delayMillis = this.faults.lateReplyMillis();
		HttpResponse response = resultResponse(task);
		if (delayMillis > 0) {
			this.group.next().schedule(() -> sendOrLose(exchange, response), delayMillis, TimeUnit.MILLISECONDS);
		}
		else {
			sendOrLose(exchange, response);
		}
	}

	private void sendOrLose(HttpExchange exchange, HttpResponse response) {
		if (this.faults.consumeResponseLoss()) {
			exchange.abort();
		}
		else {
			respond(exchange, this.faults.corrupt(response));
		}
	}

	private void respond(HttpExchange exchange, HttpResponse response) {
		exchange.respond(response.withHeader(BUSY_SLOTS_HEADER, Integer.toString(this.tasks.runningCount())));
	}

	private HttpResponse resultResponse(Task task) {
		return HttpResponse.of(200, task.resultJson())
			.withHeader("Content-Type", "application/json")
			.withHeader("Task-Id", task.taskId())
			.withHeader("Task-Run-Millis", Long.toString(task.runMillis()));
	}

	private void handleLookup(HttpExchange exchange, String taskId) {
		this.counters.add(WorkerCounters.Kind.LOOKUPS);
		HttpResponse response = this.tasks.find(taskId, this.time.nanoTime())
			.map(this::lookupResponse)
			.orElseGet(() -> HttpResponse.of(404).withHeader("Task-State", "unknown"));
		respond(exchange, response);
	}

	private HttpResponse lookupResponse(Task task) {
		TaskState state = task.state();
		HttpResponse response = switch (state) {
			case RUNNING -> HttpResponse.of(202);
			case FINISHED -> resultResponse(task);
			case FAILED, CANCELLED -> HttpResponse.of(200);
		};
		return response.withHeader("Task-Id", task.taskId()).withHeader("Task-State", state.text());
	}

	private void handleCancel(HttpExchange exchange, String taskId) {
		this.counters.add(WorkerCounters.Kind.CANCELS);
		respond(exchange, HttpResponse.of(cancel(taskId) ? 204 : 404));
	}

	private void handleBatchCancel(HttpExchange exchange) {
		this.counters.add(WorkerCounters.Kind.CANCELS);
		Arrays.stream(Json.read(exchange.body(), String[].class)).forEach(this::cancel);
		respond(exchange, HttpResponse.of(204));
	}

	private boolean cancel(String taskId) {
		Optional<Task> task = this.tasks.find(taskId, this.time.nanoTime());
		if (task.isPresent() && terminate(task.get(), TaskState.CANCELLED)) {
			this.counters.add(WorkerCounters.Kind.CANCELLED_TASKS);
		}
		return task.isPresent();
	}

}
