package org.masticwick.core.request.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.JobSubmission;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.TaskSpec;

/**
 * An admitted job with its queued tasks and the number of its running tasks.
 */
final class JobEntry {

	/** Orders jobs by rank, and jobs of equal rank by arrival. */
	static final Comparator<JobEntry> BY_RANK = Comparator.comparingDouble((JobEntry job) -> job.rank)
		.thenComparingLong(JobEntry::sequence);

	/** Orders jobs by deadline. */
	static final Comparator<JobEntry> BY_DEADLINE = Comparator.comparingLong(JobEntry::deadlineNanos)
		.thenComparingLong(JobEntry::sequence);

	private final JobSubmission submission;

	private final TeamAccount account;

	private final long sequence;

	private final long admittedNanos;

	private final double meanTaskNanos;

	private final Deque<Integer> refusedIndexes = new ArrayDeque<>();

	private final Map<Integer, Integer> refusalCounts = new HashMap<>();

	private final Set<HostAddress> unfitEndpoints = new HashSet<>();

	private int firstUntriedIndex;

	private int runningCount;

	private boolean started;

	private boolean closed;

	private double rank;

	private TeamQueue queue;

	/**
	 * Creates a job whose tasks are all queued.
	 * @param submission the submitted job
	 * @param account the account of its team
	 * @param sequence its position in the order of arrival
	 * @param admittedNanos the time at which it was admitted, in nanoseconds of the
	 * monotonic clock
	 * @param meanTaskNanos the mean expected run time of its tasks, in nanoseconds
	 */
	JobEntry(JobSubmission submission, TeamAccount account, long sequence, long admittedNanos, double meanTaskNanos) {
		this.submission = submission;
		this.account = account;
		this.sequence = sequence;
		this.admittedNanos = admittedNanos;
		this.meanTaskNanos = meanTaskNanos;
	}

	/**
	 * Returns the task to start next: a refused one if retries are allowed, otherwise one
	 * that was never tried.
	 * @param retryAllowed whether retries are allowed
	 * @return the index of the task in the job; empty if no task may start
	 */
	OptionalInt nextTaskIndex(boolean retryAllowed) {
		if (retryAllowed && !this.refusedIndexes.isEmpty()) {
			return OptionalInt.of(this.refusedIndexes.getFirst());
		}
		return (this.firstUntriedIndex < taskCount()) ? OptionalInt.of(this.firstUntriedIndex) : OptionalInt.empty();
	}

	/**
	 * Removes the task that {@link #nextTaskIndex} returned from the queued ones and
	 * counts it as running.
	 * @param index the index of the task in the job
	 * @return {@code true} if the start is a retry
	 */
	boolean recordStart(int index) {
		this.runningCount++;
		this.started = true;
		if (index == this.firstUntriedIndex) {
			this.firstUntriedIndex++;
			return false;
		}
		this.refusedIndexes.remove(index);
		return true;
	}

	/**
	 * Queues a refused task again.
	 * @param index the index of the task in the job
	 */
	void requeue(int index) {
		this.refusedIndexes.addLast(index);
	}

	/**
	 * Counts a refusal of a task.
	 * @param index the index of the task in the job
	 * @return the number of refusals of the task
	 */
	int countRefusal(int index) {
		return this.refusalCounts.merge(index, 1, Integer::sum);
	}

	/**
	 * Removes all queued tasks and closes the job, so that no task of it is queued again.
	 * @return the removed tasks
	 */
	List<TaskId> close() {
		List<Integer> indexes = new ArrayList<>(this.refusedIndexes);
		IntStream.range(this.firstUntriedIndex, taskCount()).forEach(indexes::add);
		this.refusedIndexes.clear();
		this.firstUntriedIndex = taskCount();
		this.closed = true;
		return indexes.stream().sorted().map((index) -> new TaskId(ticket(), index)).toList();
	}

	void decrementRunning() {
		this.runningCount--;
	}

	boolean closed() {
		return this.closed;
	}

	boolean started() {
		return this.started;
	}

	/**
	 * Returns whether all tasks of the job but a number of them are queued. If this holds
	 * for the number of tasks that were refused and not queued again yet, none runs or
	 * has run.
	 * @param exceptCount the number of tasks
	 * @return {@code true} if so
	 */
	boolean allQueuedExcept(int exceptCount) {
		return queuedCount() + exceptCount == taskCount();
	}

	int queuedCount() {
		return this.refusedIndexes.size() + taskCount() - this.firstUntriedIndex;
	}

	int runningCount() {
		return this.runningCount;
	}

	/**
	 * Returns the expected work of the queued tasks.
	 * @return the sum of the expected run times in nanoseconds
	 */
	double queuedWorkNanos() {
		return queuedCount() * this.meanTaskNanos;
	}

	TaskSpec spec(int index) {
		return request().tasks().get(index);
	}

	JobRequest request() {
		return this.submission.request();
	}

	TeamAccount account() {
		return this.account;
	}

	String ticket() {
		return this.submission.ticket();
	}

	long deadlineNanos() {
		return this.submission.deadlineNanos();
	}

	long admittedNanos() {
		return this.admittedNanos;
	}

	long sequence() {
		return this.sequence;
	}

	double rank() {
		return this.rank;
	}

	/**
	 * Sets the rank. Must not be called while the job is in a set that is ordered by
	 * rank.
	 * @param newRank the rank; the job with the lowest rank starts first
	 */
	void rank(double newRank) {
		this.rank = newRank;
	}

	TeamQueue queue() {
		return this.queue;
	}

	void queue(TeamQueue newQueue) {
		this.queue = newQueue;
	}

	Set<HostAddress> unfitEndpoints() {
		return this.unfitEndpoints;
	}

	private int taskCount() {
		return request().tasks().size();
	}

}
