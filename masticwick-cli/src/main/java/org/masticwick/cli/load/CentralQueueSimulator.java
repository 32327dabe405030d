package org.masticwick.cli.load;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Simulates a single queue in front of all slots that knows all run times and the state
 * of every slot and has no overhead. The difference between the measured response times
 * and the simulated ones is due to the dispatcher's incomplete information and overhead;
 * the difference between the simulated ones and the ideal,
 * {@link PlannedJob#idealMillis}, is due to queueing.
 *
 * Starts the job with the least work first and, within a job, the tasks with the longest
 * run times first.
 */
final class CentralQueueSimulator {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final LoadOptions options;

	private final Queue<RunningTask> runningTasks = new PriorityQueue<>(
			Comparator.comparingDouble(RunningTask::endMillis));

	private final TreeSet<UnfinishedJob> queuedJobs = new TreeSet<>(
			Comparator.comparingLong((UnfinishedJob job) -> job.plannedJob.workMillis())
				.thenComparing((job) -> job.plannedJob.index()));

	private final Histogram singleRatios = new Histogram(SIGNIFICANT_DIGITS);

	private final Histogram jobRatios = new Histogram(SIGNIFICANT_DIGITS);

	private CentralQueueSimulator(LoadOptions options) {
		this.options = options;
	}

	/**
	 * Simulates a schedule and returns the ratios of response time to ideal response
	 * time.
	 * @param schedule the jobs and their arrival times
	 * @param options the options of the load run, for its slots and its warm-up
	 * @return the ratios of the jobs that arrive after the warm-up
	 */
	static Ratios simulate(Schedule schedule, LoadOptions options) {
		CentralQueueSimulator simulator = new CentralQueueSimulator(options);
		schedule.jobs().forEach(simulator::addArrival);
		simulator.advanceTo(Double.POSITIVE_INFINITY);
		return new Ratios(Quantiles.of(simulator.singleRatios, LoadRecorder.RATIO_UNIT),
				Quantiles.of(simulator.jobRatios, LoadRecorder.RATIO_UNIT));
	}

	private void addArrival(PlannedJob job) {
		double nowMillis = job.offsetNanos() / NANOS_PER_MILLI;
		advanceTo(nowMillis);
		this.queuedJobs.add(new UnfinishedJob(job));
		startTasks(nowMillis);
	}

	private void advanceTo(double limitMillis) {
		while (!this.runningTasks.isEmpty() && this.runningTasks.peek().endMillis() <= limitMillis) {
			RunningTask finishedTask = this.runningTasks.poll();
			finishedTask.job().unfinishedTaskCount--;
			if (finishedTask.job().unfinishedTaskCount == 0) {
				recordRatio(finishedTask.job().plannedJob, finishedTask.endMillis());
			}
			startTasks(finishedTask.endMillis());
		}
	}

	private void startTasks(double nowMillis) {
		while (!this.queuedJobs.isEmpty() && this.runningTasks.size() < this.options.slotCount()) {
			UnfinishedJob job = this.queuedJobs.first();
			this.runningTasks.add(new RunningTask(job, nowMillis + job.sortedRunMillis[job.queuedTaskCount - 1]));
			job.queuedTaskCount--;
			if (job.queuedTaskCount == 0) {
				this.queuedJobs.remove(job);
			}
		}
	}

	private void recordRatio(PlannedJob job, double endMillis) {
		double arrivedMillis = job.offsetNanos() / NANOS_PER_MILLI;
		if (arrivedMillis < this.options.warmupMillis()) {
			return;
		}
		double ratio = (endMillis - arrivedMillis) / job.idealMillis(this.options.slotCount());
		Histogram ratios = (job.taskCount() == 1) ? this.singleRatios : this.jobRatios;
		ratios.recordValue(Math.round(ratio / LoadRecorder.RATIO_UNIT));
	}

	/**
	 * Ratios of simulated response time to ideal response time.
	 *
	 * @param single the ratios of jobs with a single task
	 * @param jobs the ratios of jobs with several tasks
	 */
	record Ratios(Quantiles single, Quantiles jobs) {

	}

	/**
	 * A task that occupies a slot.
	 *
	 * @param job the job that the task belongs to
	 * @param endMillis when the task completes, in milliseconds from the start of the run
	 */
	private record RunningTask(UnfinishedJob job, double endMillis) {

	}

	/**
	 * A job with tasks that are queued or running.
	 */
	private static final class UnfinishedJob {

		private final PlannedJob plannedJob;

		private final int[] sortedRunMillis;

		private int queuedTaskCount;

		private int unfinishedTaskCount;

		private UnfinishedJob(PlannedJob job) {
			this.plannedJob = job;
			this.sortedRunMillis = job.runMillis().clone();
			Arrays.sort(this.sortedRunMillis);
			this.queuedTaskCount = this.sortedRunMillis.length;
			this.unfinishedTaskCount = this.sortedRunMillis.length;
		}

	}

}
