package org.masticwick.cli.load;

import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Computes what one queue in front of all slots would do with a schedule, if it knew all
 * run times, saw every slot and cost no time. What a site is slower than that comes from
 * its views and its overhead; what this is slower than the ideal comes from queueing.
 *
 * Jobs go by least work, the tasks of a job by longest run time.
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
	 * Computes the ratios for a schedule.
	 * @param schedule the schedule
	 * @param options the options of the run
	 * @return response time over ideal
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
	 * Holds response times over the ideal.
	 *
	 * @param single those of single tasks
	 * @param jobs those of jobs of several tasks
	 */
	record Ratios(Quantiles single, Quantiles jobs) {

	}

	/**
	 * Is a task that takes a slot.
	 *
	 * @param job its job
	 * @param endMillis when it ends, in milliseconds from the start of the run
	 */
	private record RunningTask(UnfinishedJob job, double endMillis) {

	}

	/**
	 * Is a job that has not ended.
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
