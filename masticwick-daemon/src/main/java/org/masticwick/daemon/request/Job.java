package org.masticwick.daemon.request;

import java.security.MessageDigest;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.stream.IntStream;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.RunState;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.Ticket;

/**
 * Holds what became of a job and ends it exactly once. A gate counts the tasks that were
 * started and, once closed, lets none start any more; so an answer that says "not run"
 * stays true.
 */
public final class Job {

	private static final long CLOSED = 1L << 62;

	private final Ticket ticket;

	private final String ticketText;

	private final byte[] digest;

	private final JobRequest request;

	private final long deadlineNanos;

	private final AtomicLong gate = new AtomicLong();

	private final AtomicReferenceArray<TaskProgress> tasks;

	private final AtomicInteger unfinishedCount;

	private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();

	/**
	 * Creates a job of which no task was started.
	 * @param ticket the ticket
	 * @param digest the digest of the submitted body
	 * @param request what was submitted
	 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
	 */
	public Job(Ticket ticket, byte[] digest, JobRequest request, long deadlineNanos) {
		this.ticket = ticket;
		this.ticketText = ticket.toString();
		this.digest = digest.clone();
		this.request = request;
		this.deadlineNanos = deadlineNanos;
		this.tasks = new AtomicReferenceArray<>(request.tasks().size());
		IntStream.range(0, this.tasks.length()).forEach((index) -> this.tasks.set(index, TaskProgress.NOT_STARTED));
		this.unfinishedCount = new AtomicInteger(this.tasks.length());
	}

	/**
	 * Lets a task start.
	 * @param index the place of the task
	 * @param endpoint where it is to start
	 * @return {@code false} if the job has ended, or the task was started already
	 */
	public boolean tryStart(int index, HostAddress endpoint) {
		TaskProgress before = this.tasks.get(index);
		if (before.state() != TaskState.NOT_STARTED || !enterGate()) {
			return false;
		}
		if (this.tasks.compareAndSet(index, before, new TaskProgress(TaskState.STARTED, endpoint, null))) {
			return true;
		}
		this.gate.decrementAndGet();
		return false;
	}

	private boolean enterGate() {
		long value = this.gate.get();
		while ((value & CLOSED) == 0) {
			if (this.gate.compareAndSet(value, value + 1)) {
				return true;
			}
			value = this.gate.get();
		}
		return false;
	}

	/**
	 * Takes back a start that provably never reached its endpoint.
	 * @param index the place of the task
	 */
	public void revertStart(int index) {
		TaskProgress before = this.tasks.get(index);
		if (before.state() == TaskState.STARTED && this.tasks.compareAndSet(index, before, TaskProgress.NOT_STARTED)) {
			this.gate.decrementAndGet();
		}
	}

	/**
	 * Records the result of a task; the last one completes the job.
	 * @param index the place of the task
	 * @param result the result
	 * @return {@code true} if this result completed the job
	 */
	public boolean recordResult(int index, String result) {
		TaskProgress before = this.tasks.get(index);
		if (before.state() != TaskState.STARTED || !this.tasks.compareAndSet(index, before,
				new TaskProgress(TaskState.SUCCEEDED, before.endpoint(), result))) {
			return false;
		}
		return this.unfinishedCount.decrementAndGet() == 0 && close() && this.answer.complete(completeAnswer());
	}

	private HttpAnswer completeAnswer() {
		List<String> results = IntStream.range(0, this.tasks.length())
			.mapToObj((index) -> this.tasks.get(index).result())
			.toList();
		return Answers.complete(this.ticketText, results);
	}

	/**
	 * Records that a task ended without a result.
	 * @param index the place of the task
	 * @param state failed or unknown
	 */
	public void recordUnsuccessful(int index, TaskState state) {
		TaskProgress before = this.tasks.get(index);
		this.tasks.compareAndSet(index, before, new TaskProgress(state, before.endpoint(), null));
	}

	/**
	 * Ends the job without a result: as refused if no task was started, else as failed.
	 * @param refusal the code if no task was started
	 * @param failure the code if a task was started
	 * @param detail the details for people
	 * @param retryAfterMillis when to come back if refused, in milliseconds; negative for
	 * never
	 * @return {@code true} if this call ended the job
	 */
	public boolean abandon(ErrorCode refusal, ErrorCode failure, String detail, long retryAfterMillis) {
		if (!close()) {
			return false;
		}
		boolean started = (this.gate.get() & ~CLOSED) > 0;
		ErrorCode code = (started || refusal.runState() != RunState.NOT_RUN) ? failure : refusal;
		HttpAnswer problem = started ? Answers.problem(code, detail, HttpAnswer.NO_RETRY, taskStates())
				: Answers.problem(code, detail, retryAfterMillis);
		return this.answer.complete(problem);
	}

	/**
	 * Ends the job with an answer that another host gave for it.
	 * @param given the answer
	 * @return {@code true} if this call ended the job
	 */
	public boolean completeWith(HttpAnswer given) {
		return close() && this.answer.complete(given);
	}

	private boolean close() {
		long value = this.gate.getAndUpdate((old) -> old | CLOSED);
		return (value & CLOSED) == 0;
	}

	/**
	 * Returns whether the job has ended.
	 * @return {@code true} if no task may start any more
	 */
	public boolean ended() {
		return (this.gate.get() & CLOSED) != 0;
	}

	/**
	 * Returns whether a body is the one that was submitted.
	 * @param other the digest of the body
	 * @return {@code true} if it is
	 */
	public boolean matchesBody(byte[] other) {
		return MessageDigest.isEqual(this.digest, other);
	}

	/**
	 * Returns how far each task has come, in the order of the tasks.
	 * @return the states
	 */
	public List<TaskState> taskStates() {
		return IntStream.range(0, this.tasks.length()).mapToObj((index) -> this.tasks.get(index).state()).toList();
	}

	/**
	 * Returns the tasks that were started and have not ended.
	 * @return the places of the tasks with their endpoints
	 */
	public List<RunningTask> runningTasks() {
		return IntStream.range(0, this.tasks.length())
			.filter((index) -> this.tasks.get(index).state() == TaskState.STARTED)
			.mapToObj((index) -> new RunningTask(taskId(index), this.tasks.get(index).endpoint()))
			.toList();
	}

	/**
	 * Returns the id of a task.
	 * @param index the place of the task
	 * @return the id
	 */
	public TaskId taskId(int index) {
		return new TaskId(this.ticketText, index);
	}

	/**
	 * Returns the answer, which is given exactly once.
	 * @return the answer to come
	 */
	public CompletableFuture<HttpAnswer> answer() {
		return this.answer;
	}

	/**
	 * Returns the ticket.
	 * @return the ticket
	 */
	public Ticket ticket() {
		return this.ticket;
	}

	/**
	 * Returns the ticket as text.
	 * @return the text
	 */
	public String ticketText() {
		return this.ticketText;
	}

	/**
	 * Returns the digest of the submitted body.
	 * @return a copy of the digest
	 */
	public byte[] digest() {
		return this.digest.clone();
	}

	/**
	 * Returns what was submitted.
	 * @return the request
	 */
	public JobRequest request() {
		return this.request;
	}

	/**
	 * Returns when the caller stops waiting.
	 * @return the time on the monotonic clock, in nanoseconds
	 */
	public long deadlineNanos() {
		return this.deadlineNanos;
	}

	/**
	 * Names a task that runs and where.
	 *
	 * @param task the task
	 * @param endpoint the endpoint
	 */
	public record RunningTask(TaskId task, HostAddress endpoint) {

	}

	/**
	 * Holds how far a task has come.
	 *
	 * @param state the state
	 * @param endpoint where it was started, or {@code null}
	 * @param result its result, or {@code null}
	 */
	private record TaskProgress(TaskState state, HostAddress endpoint, String result) {

		static final TaskProgress NOT_STARTED = new TaskProgress(TaskState.NOT_STARTED, null, null);

	}

}
