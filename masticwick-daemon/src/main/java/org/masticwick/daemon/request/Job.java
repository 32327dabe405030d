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
 * Tracks the state of a job's tasks and answers the job exactly once. The start gate
 * counts the started tasks; once it is closed, no task can start. Counter and closed flag
 * share one atomic variable, so that no task can start after an answer that says that the
 * job was not run.
 */
public final class Job {

	private static final long CLOSED_BIT = 1L << 62;

	private final Ticket ticket;

	private final String ticketText;

	private final byte[] digest;

	private final JobRequest request;

	private final long deadlineNanos;

	private final AtomicLong startGate = new AtomicLong();

	private final AtomicReferenceArray<TaskProgress> tasks;

	private final AtomicInteger unfinishedCount;

	private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();

	/**
	 * Creates a job none of whose tasks has been started.
	 * @param ticket the ticket
	 * @param digest the SHA-256 digest of the submitted body
	 * @param request the submitted job
	 * @param deadlineNanos the deadline of the job, in nanoseconds on the monotonic clock
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
	 * Marks a task as started, unless the job has ended.
	 * @param index the index of the task
	 * @param endpoint the endpoint that is to run the task
	 * @return {@code false} if the job has ended or the task was started before; the
	 * caller must not start the task then
	 */
	public boolean tryStart(int index, HostAddress endpoint) {
		TaskProgress current = this.tasks.get(index);
		if (current.state() != TaskState.NOT_STARTED || !countStartUnlessClosed()) {
			return false;
		}
		if (this.tasks.compareAndSet(index, current, new TaskProgress(TaskState.STARTED, endpoint, null))) {
			return true;
		}
		this.startGate.decrementAndGet();
		return false;
	}

	private boolean countStartUnlessClosed() {
		long gateValue = this.startGate.get();
		while ((gateValue & CLOSED_BIT) == 0) {
			if (this.startGate.compareAndSet(gateValue, gateValue + 1)) {
				return true;
			}
			gateValue = this.startGate.get();
		}
		return false;
	}

	/**
	 * Reverts a start that certainly did not run on its endpoint, so that the task can be
	 * started again.
	 * @param index the index of the task
	 */
	public void revertStart(int index) {
		TaskProgress current = this.tasks.get(index);
		if (current.state() == TaskState.STARTED
				&& this.tasks.compareAndSet(index, current, TaskProgress.NOT_STARTED)) {
			this.startGate.decrementAndGet();
		}
	}

	/**
	 * Records the result of a task. The result of the last task completes the job.
	 * @param index the index of the task
	 * @param result the result
	 * @return {@code true} if this result completed the job
	 */
	public boolean recordResult(int index, String result) {
		TaskProgress current = this.tasks.get(index);
		if (current.state() != TaskState.STARTED || !this.tasks.compareAndSet(index, current,
				new TaskProgress(TaskState.SUCCEEDED, current.endpoint(), result))) {
			return false;
		}
		return this.unfinishedCount.decrementAndGet() == 0 && closeStartGate()
				&& this.answer.complete(completeAnswer());
	}

	private HttpAnswer completeAnswer() {
		List<String> results = IntStream.range(0, this.tasks.length())
			.mapToObj((index) -> this.tasks.get(index).result())
			.toList();
		return Answers.complete(this.ticketText, results);
	}

	/**
	 * Records that the run of a task terminated without a result.
	 * @param index the index of the task
	 * @param state {@link TaskState#FAILED} or {@link TaskState#UNKNOWN}
	 */
	public void recordUnsuccessful(int index, TaskState state) {
		TaskProgress current = this.tasks.get(index);
		this.tasks.compareAndSet(index, current, new TaskProgress(state, current.endpoint(), null));
	}

	/**
	 * Ends the job without a result. The failure code is used if a task was started, or
	 * if the refusal code does not state that the job was not run.
	 * @param refusal the code if no task was started
	 * @param failure the code if a task was started
	 * @param detail the explanation for the caller
	 * @param retryAfterMillis the delay after which the caller may retry if no task was
	 * started, in milliseconds; negative for none
	 * @return {@code true} if this call ended the job
	 */
	public boolean abandon(ErrorCode refusal, ErrorCode failure, String detail, long retryAfterMillis) {
		if (!closeStartGate()) {
			return false;
		}
		boolean started = (this.startGate.get() & ~CLOSED_BIT) > 0;
		ErrorCode code = (started || refusal.runState() != RunState.NOT_RUN) ? failure : refusal;
		HttpAnswer problem = started ? Answers.problem(code, detail, HttpAnswer.NO_RETRY, taskStates())
				: Answers.problem(code, detail, retryAfterMillis);
		return this.answer.complete(problem);
	}

	/**
	 * Ends the job with an answer that another host gave for it.
	 * @param otherHostsAnswer the answer of the other host
	 * @return {@code true} if this call ended the job
	 */
	public boolean completeWith(HttpAnswer otherHostsAnswer) {
		return closeStartGate() && this.answer.complete(otherHostsAnswer);
	}

	private boolean closeStartGate() {
		long gateValue = this.startGate.getAndUpdate((oldValue) -> oldValue | CLOSED_BIT);
		return (gateValue & CLOSED_BIT) == 0;
	}

	/**
	 * Returns whether the job has ended.
	 * @return {@code true} if no task may start any more
	 */
	public boolean ended() {
		return (this.startGate.get() & CLOSED_BIT) != 0;
	}

	/**
	 * Returns whether a body equals the submitted one.
	 * @param bodyDigest the SHA-256 digest of the body
	 * @return {@code true} if the digests are equal
	 */
	public boolean matchesBody(byte[] bodyDigest) {
		return MessageDigest.isEqual(this.digest, bodyDigest);
	}

	/**
	 * Returns the state of each task.
	 * @return the states in the order of the tasks
	 */
	public List<TaskState> taskStates() {
		return IntStream.range(0, this.tasks.length()).mapToObj((index) -> this.tasks.get(index).state()).toList();
	}

	/**
	 * Returns the tasks whose runs have not terminated.
	 * @return the ids of the tasks with their endpoints
	 */
	public List<RunningTask> runningTasks() {
		return IntStream.range(0, this.tasks.length())
			.filter((index) -> this.tasks.get(index).state() == TaskState.STARTED)
			.mapToObj((index) -> new RunningTask(taskId(index), this.tasks.get(index).endpoint()))
			.toList();
	}

	/**
	 * Returns the id of a task.
	 * @param index the index of the task
	 * @return the id
	 */
	public TaskId taskId(int index) {
		return new TaskId(this.ticketText, index);
	}

	/**
	 * Returns the answer of the job.
	 * @return the answer, completed exactly once when the job ends
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
	 * Returns the submitted job.
	 * @return the request
	 */
	public JobRequest request() {
		return this.request;
	}

	/**
	 * Returns the deadline of the job.
	 * @return the deadline in nanoseconds on the monotonic clock
	 */
	public long deadlineNanos() {
		return this.deadlineNanos;
	}

	/**
	 * Identifies a task that was started and the endpoint that runs it.
	 *
	 * @param task the id of the task
	 * @param endpoint the endpoint
	 */
	public record RunningTask(TaskId task, HostAddress endpoint) {

	}

	/**
	 * Holds the progress of a task.
	 *
	 * @param state the state
	 * @param endpoint the endpoint on which the task was started, or {@code null} if it
	 * was not started
	 * @param result the result, or {@code null} unless the task succeeded
	 */
	private record TaskProgress(TaskState state, HostAddress endpoint, String result) {

		static final TaskProgress NOT_STARTED = new TaskProgress(TaskState.NOT_STARTED, null, null);

	}

}
