package org.masticwick.core.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * A job in a pool, from its admission until no run of it is left.
 */
public final class PooledJob {

	/**
	 * How much longer than expected a run may well take: estimates are off by half, and
	 * endpoints by a quarter.
	 */
	private static final double RUN_TIME_MARGIN = 1.5;

	/** Up to this many times the objective an answer is late but still of use. */
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

	private final Deque<PooledTask> readyTasks = new ArrayDeque<>();

	private JobOrigin origin;

	private int placementCount;

	private boolean started;

	private boolean finished;

	private boolean suspended;

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
	 * Returns who waits for the answer.
	 * @return the origin
	 */
	public JobOrigin origin() {
		return this.origin;
	}

	/**
	 * Returns when the job came to the pool.
	 * @return the time in milliseconds
	 */
	public long arrivedMillis() {
		return this.arrivedMillis;
	}

	void origin(JobOrigin newest) {
		this.origin = newest;
	}

	long sequence() {
		return this.sequence;
	}

	/**
	 * Returns how long the longest chain of steps is expected to run.
	 * @return the time in milliseconds
	 */
	public double expectedMillis() {
		return this.expectedMillis;
	}

	/**
	 * Returns how long the job may take to be on time.
	 * @return the objective in milliseconds
	 */
	double objectiveMillis() {
		return this.terms.stretch() * this.expectedMillis + this.terms.targetLatencyMillis();
	}

	/**
	 * Returns the last moment at which the job can start and will most likely be on time.
	 * @return the time in milliseconds
	 */
	long latestStartMillis() {
		return this.arrivedMillis + (long) (objectiveMillis() - RUN_TIME_MARGIN * this.expectedMillis);
	}

	/**
	 * Returns the moment after which an answer is of no use to the caller.
	 * @return the time in milliseconds
	 */
	long latestUsefulMillis() {
		return Math.min(this.arrivedMillis + (long) (LATE_FACTOR * objectiveMillis()), deadlineMillis());
	}

	/**
	 * Returns the moment at which the caller stops waiting.
	 * @return the time in milliseconds
	 */
	long deadlineMillis() {
		return this.arrivedMillis + this.terms.budgetMillis();
	}

	/**
	 * Has a task started again, first of all. If an earlier owner started it and the
	 * steps before are not known to be done yet, it waits for that.
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
	 * Returns the work of the tasks that could start now.
	 * @return the work in thousandths of a core times milliseconds
	 */
	double readyWork() {
		return this.readyTasks.stream().mapToDouble((task) -> task.step().demand().cpuMillicores()).sum()
				* this.expectedMillis;
	}

	/**
	 * Returns the number of the repetition that this is.
	 * @return the number, from 0
	 */
	public int occurrence() {
		return this.occurrence;
	}

	/**
	 * Returns what tells this from other jobs and from other occurrences of the same job.
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
	 * Holds the job back, or lets it go on: no task of it is started meanwhile.
	 * @param newSuspended whether to hold it back
	 */
	void setSuspended(boolean newSuspended) {
		this.suspended = newSuspended;
	}

	boolean isStarted() {
		return this.started;
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
	 * Takes note that a task is done.
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
	 * Goes on with the numbers of the runs of an earlier submission of the same job.
	 * @param previousSubmission the earlier submission
	 */
	void continueRunNumbersOf(PooledJob previousSubmission) {
		List<PooledTask> previousTasks = previousSubmission.allTasks();
		List<PooledTask> ownTasks = allTasks();
		IntStream.range(0, Math.min(ownTasks.size(), previousTasks.size()))
			.forEach((index) -> ownTasks.get(index).continueRunNumbersOf(previousTasks.get(index)));
	}

	JobTransfer transfer(long nowMillis) {
		List<TaskTransfer> states = allTasks().stream().map((task) -> task.transfer(nowMillis)).toList();
		return new JobTransfer(this.spec, this.terms, this.origin, nowMillis - this.arrivedMillis, states);
	}

	/**
	 * Returns the first task of each step, which stands for the others.
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
	 * Tells how far the job is.
	 * @return the progress of the tasks of which some run has ended
	 */
	List<TaskProgress> progress() {
		return allTasks().stream().flatMap((task) -> task.progress().stream()).toList();
	}

	/**
	 * Goes on from what is kept of the job.
	 * @param storedProgress the progress of its tasks
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
