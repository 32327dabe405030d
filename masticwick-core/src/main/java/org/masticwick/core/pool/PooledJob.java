package org.masticwick.core.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * A job in a pool, from its admission until all its runs have terminated.
 */
public final class PooledJob {

	/**
	 * The factor by which a run may exceed its expected time: estimates of callers
	 * deviate by half, speeds of endpoints by a quarter.
	 */
	static final double RUN_TIME_MARGIN = 1.5;

	/** Up to this multiple of the objective a late answer is still useful. */
	private static final int LATE_FACTOR = 3;

	private final JobSpec spec;

	private final int occurrence;

	private final JobTerms terms;

	private final long sequence;

	private final long arrivedMillis;

	private final double expectedMillis;

	private final List<List<PooledTask>> tasks;

	private final int[] unfinishedTaskCounts;

	private final boolean[] readySteps;

	private final boolean timed;

	private final double totalWork;

	private final Deque<PooledTask> readyTasks = new ArrayDeque<>();

	private JobRunNumbers runNumbers = JobRunNumbers.UNRESERVED;

	private JobOrigin origin;

	private int placementCount;

	private boolean started;

	private boolean finished;

	private boolean suspended;

	private boolean kept;

	private boolean released;

	private boolean handedOver;

	private boolean held;

	PooledJob(JobSpec spec, JobTerms terms, JobOrigin origin, long sequence, long arrivedMillis,
			RunTimeEstimator runTimeEstimator) {
		this(spec, 0, terms, origin, sequence, arrivedMillis, runTimeEstimator);
	}

	PooledJob(JobSpec spec, int occurrence, JobTerms terms, JobOrigin origin, long sequence, long arrivedMillis,
			RunTimeEstimator runTimeEstimator) {
		this.spec = spec;
		this.occurrence = occurrence;
		this.terms = terms;
		this.origin = origin;
		this.sequence = sequence;
		this.arrivedMillis = arrivedMillis;
		this.expectedMillis = criticalPathMillis(spec, terms, runTimeEstimator);
		this.tasks = IntStream.range(0, spec.steps().size()).mapToObj(this::tasksOf).toList();
		this.unfinishedTaskCounts = spec.steps().stream().mapToInt(StepSpec::taskCount).toArray();
		this.readySteps = new boolean[spec.steps().size()];
		this.timed = spec.schedule().isTimed() || spec.steps().stream().anyMatch((step) -> step.traits().longRunning());
		this.totalWork = this.expectedMillis * spec.steps()
			.stream()
			.mapToDouble((step) -> (double) step.taskCount() * step.demand().cpuMillicores())
			.sum();
		releaseReadySteps();
	}

	private static double criticalPathMillis(JobSpec spec, JobTerms terms, RunTimeEstimator runTimeEstimator) {
		double[] endMillis = new double[spec.steps().size()];
		double longestMillis = 0;
		for (int number = 0; number < endMillis.length; number++) {
			StepSpec step = spec.steps().get(number);
			double startMillis = step.predecessors()
				.stream()
				.mapToDouble((predecessor) -> endMillis[predecessor])
				.max()
				.orElse(0);
			endMillis[number] = startMillis + runTimeEstimator.expectedMillis(terms.queue(), step.estimatedMillis());
			longestMillis = Math.max(longestMillis, endMillis[number]);
		}
		return longestMillis;
	}

	private List<PooledTask> tasksOf(int number) {
		StepSpec step = this.spec.steps().get(number);
		return IntStream.range(0, step.taskCount())
			.mapToObj((index) -> new PooledTask(this, new TaskId(this.spec.jobId(), this.occurrence, number, index),
					step))
			.toList();
	}

	private void releaseReadySteps() {
		for (int number = 0; number < this.readySteps.length; number++) {
			if (!this.readySteps[number] && arePredecessorsDone(number)) {
				this.readySteps[number] = true;
				this.tasks.get(number).stream().filter(PooledTask::isWaiting).forEach(this.readyTasks::add);
			}
		}
	}

	private boolean arePredecessorsDone(int number) {
		return this.spec.steps()
			.get(number)
			.predecessors()
			.stream()
			.allMatch((predecessor) -> this.unfinishedTaskCounts[predecessor] == 0);
	}

	/**
	 * Returns what the caller submitted.
	 * @return the specification
	 */
	public JobSpec spec() {
		return this.spec;
	}

	/**
	 * Returns the terms of the job's queue.
	 * @return the terms
	 */
	public JobTerms terms() {
		return this.terms;
	}

	/**
	 * Returns the entry host and the call that wait for the answer.
	 * @return the origin
	 */
	public JobOrigin origin() {
		return this.origin;
	}

	/**
	 * Returns when the job was submitted to the pool; for a durable job, when its
	 * occurrence was due.
	 * @return the time in milliseconds
	 */
	public long arrivedMillis() {
		return this.arrivedMillis;
	}

	/**
	 * Returns when the caller's host received the job.
	 * @return the time in milliseconds, or {@link Long#MIN_VALUE} if it is unknown
	 */
	long receivedMillis() {
		boolean unknown = this.terms.waitedMillis() == JobTerms.UNKNOWN_WAIT;
		return unknown ? Long.MIN_VALUE : this.arrivedMillis - this.terms.waitedMillis();
	}

	void origin(JobOrigin newOrigin) {
		this.origin = newOrigin;
	}

	long sequence() {
		return this.sequence;
	}

	/**
	 * Returns the expected run time of the critical path of steps.
	 * @return the time in milliseconds
	 */
	public double expectedMillis() {
		return this.expectedMillis;
	}

	/**
	 * Returns the longest response time that counts as on time.
	 * @return the objective in milliseconds
	 */
	double objectiveMillis() {
		return this.terms.stretch() * this.expectedMillis + this.terms.targetLatencyMillis();
	}

	/**
	 * Returns the latest start time with which the job is most likely on time.
	 * @return the time in milliseconds
	 */
	long latestStartMillis() {
		return this.arrivedMillis + (long) (objectiveMillis() - RUN_TIME_MARGIN * this.expectedMillis);
	}

	/**
	 * Returns the time after which an answer is of no use to the caller.
	 * @return the time in milliseconds
	 */
	long latestUsefulMillis() {
		return Math.min(this.arrivedMillis + (long) (LATE_FACTOR * objectiveMillis()), deadlineMillis());
	}

	/**
	 * Returns the time at which the caller stops waiting.
	 * @return the time in milliseconds
	 */
	long deadlineMillis() {
		return this.arrivedMillis + this.terms.budgetMillis();
	}

	/**
	 * Makes a task ready again, ahead of all others. If its predecessor steps are not
	 * known to be done, because a previous owner started it, the task becomes ready when
	 * they are.
	 * @param task the task
	 */
	void restart(PooledTask task) {
		if (this.readySteps[task.id().step()]) {
			this.readyTasks.addFirst(task);
		}
	}

	Deque<PooledTask> readyTasks() {
		return this.readyTasks;
	}

	/**
	 * Returns the ready task that is to be started next.
	 * @param waitingSteps the numbers of the steps whose tasks have to wait
	 * @return the first task of any other step, or empty if there is none
	 */
	Optional<PooledTask> nextReadyTask(BitSet waitingSteps) {
		if (waitingSteps.isEmpty()) {
			return Optional.ofNullable(this.readyTasks.peek());
		}
		if (waitingSteps.cardinality() == this.tasks.size()) {
			return Optional.empty();
		}
		return this.readyTasks.stream().filter((task) -> !waitingSteps.get(task.id().step())).findFirst();
	}

	/**
	 * Returns the work of all tasks.
	 * @return the work in thousandths of a core times milliseconds
	 */
	double totalWork() {
		return this.totalWork;
	}

	/**
	 * Returns the work of the ready tasks.
	 * @return the work in thousandths of a core times milliseconds
	 */
	double readyWork() {
		if (this.tasks.size() == 1) {
			// All tasks of a step have equal demands.
			return this.readyTasks.size() * this.spec.steps().get(0).demand().cpuMillicores() * this.expectedMillis;
		}
		return this.readyTasks.stream().mapToDouble((task) -> task.step().demand().cpuMillicores()).sum()
				* this.expectedMillis;
	}

	/**
	 * Returns the number of the occurrence of a repeated job.
	 * @return the number, from 0
	 */
	public int occurrence() {
		return this.occurrence;
	}

	/**
	 * Returns the key that is unique among all jobs and their occurrences.
	 * @return the key
	 */
	String key() {
		return key(this.spec.jobId(), this.occurrence);
	}

	static String key(String jobId, int occurrence) {
		return (occurrence == 0) ? jobId : jobId + "/" + occurrence;
	}

	boolean isSuspended() {
		return this.suspended;
	}

	/**
	 * Suspends or resumes the job. No task of a suspended job is started.
	 * @param newSuspended whether the job is suspended
	 */
	void setSuspended(boolean newSuspended) {
		this.suspended = newSuspended;
	}

	boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns whether the job is admitted for certain, because none of its queue has
	 * started for a while.
	 * @return whether it is kept
	 */
	boolean isKept() {
		return this.kept;
	}

	void keep() {
		this.kept = true;
	}

	/**
	 * Returns whether no time to start by applies: the job runs at given times, or until
	 * it is cancelled.
	 * @return whether it waits for capacity as long as necessary
	 */
	boolean isTimed() {
		return this.timed;
	}

	void markStarted() {
		this.started = true;
	}

	boolean isFinished() {
		return this.finished;
	}

	void markFinished() {
		this.finished = true;
		this.readyTasks.clear();
	}

	/**
	 * Returns whether the job belongs to another owner, so that the ends of its runs here
	 * are to be forwarded to that one.
	 * @return whether it was released
	 */
	boolean isReleased() {
		return this.released;
	}

	void markReleased() {
		this.released = true;
	}

	/**
	 * Returns whether a previous owner has handed the job over, with all runs that it has
	 * started.
	 * @return whether it was handed over
	 */
	boolean isHandedOver() {
		return this.handedOver;
	}

	void markHandedOver() {
		this.handedOver = true;
	}

	/**
	 * Marks the job as held, because it may have a run of a previous owner.
	 * @return whether it was not marked before
	 */
	boolean markHeld() {
		boolean first = !this.held;
		this.held = true;
		return first;
	}

	JobRunNumbers runNumbers() {
		return this.runNumbers;
	}

	void runNumbers(JobRunNumbers numbers) {
		this.runNumbers = numbers;
	}

	int placementCount() {
		return this.placementCount;
	}

	void addPlacement() {
		this.placementCount++;
	}

	void removePlacement() {
		this.placementCount--;
	}

	/**
	 * Marks a task as done and makes the steps ready that waited for it.
	 * @param task the task
	 * @return whether all tasks of the job are done
	 */
	boolean taskDone(PooledTask task) {
		task.markDone();
		this.unfinishedTaskCounts[task.id().step()]--;
		releaseReadySteps();
		return isComplete();
	}

	/**
	 * Continues the run numbers of a previous submission of the same job, so that no run
	 * number is used twice.
	 * @param previousSubmission the previous submission
	 */
	void continueRunNumbersOf(PooledJob previousSubmission) {
		List<PooledTask> previousTasks = previousSubmission.allTasks();
		List<PooledTask> ownTasks = allTasks();
		IntStream.range(0, Math.min(ownTasks.size(), previousTasks.size()))
			.forEach((index) -> ownTasks.get(index).continueRunNumbersOf(previousTasks.get(index)));
	}

	JobTransfer transfer(long nowMillis) {
		return transferWith(allTasks().stream().map((task) -> task.transfer(nowMillis)).toList(), nowMillis);
	}

	/**
	 * Returns the state of a job that waits for the runs of a previous submission. The
	 * next owner continues them as runs of this job.
	 * @param previousSubmission the previous submission
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the state
	 */
	JobTransfer transfer(PooledJob previousSubmission, long nowMillis) {
		return transferWith(allTasks().stream()
			.map((task) -> previousSubmission.task(task.id())
				.filter((previousTask) -> previousTask.placement() != null)
				.orElse(task)
				.transfer(nowMillis))
			.toList(), nowMillis);
	}

	private JobTransfer transferWith(List<TaskTransfer> states, long nowMillis) {
		return new JobTransfer(this.spec, this.terms, this.origin, nowMillis - this.arrivedMillis, states);
	}

	/**
	 * Returns the first task of each step; the tasks of a step have equal demands.
	 * @return the tasks
	 */
	List<PooledTask> firstTasks() {
		return this.tasks.stream().map((step) -> step.get(0)).toList();
	}

	List<PooledTask> tasksOfStep(int number) {
		return this.tasks.get(number);
	}

	Optional<PooledTask> task(TaskId id) {
		if (id.step() >= this.tasks.size() || id.index() >= this.tasks.get(id.step()).size()) {
			return Optional.empty();
		}
		return Optional.of(this.tasks.get(id.step()).get(id.index()));
	}

	/**
	 * Returns the progress of the job.
	 * @return the progress of the tasks with a terminated run
	 */
	List<TaskProgress> progress() {
		return allTasks().stream().flatMap((task) -> task.progress().stream()).toList();
	}

	/**
	 * Restores the progress of the job from the shared log.
	 * @param storedProgress the stored progress of its tasks
	 */
	void restore(List<TaskProgress> storedProgress) {
		storedProgress.forEach(
				(progress) -> task(new TaskId(this.spec.jobId(), this.occurrence, progress.step(), progress.index()))
					.ifPresent((task) -> restore(task, progress)));
	}

	private void restore(PooledTask task, TaskProgress progress) {
		task.restore(progress);
		this.started = true;
		if (progress.done() && !task.isDone()) {
			this.readyTasks.remove(task);
			taskDone(task);
			this.readyTasks.removeIf(PooledTask::isDone);
		}
	}

	boolean isComplete() {
		return IntStream.of(this.unfinishedTaskCounts).allMatch((count) -> count == 0);
	}

	List<PooledTask> allTasks() {
		List<PooledTask> all = new ArrayList<>();
		this.tasks.forEach(all::addAll);
		return all;
	}

	@Override
	public String toString() {
		return this.spec.jobId() + "@" + this.terms.queue();
	}

}
