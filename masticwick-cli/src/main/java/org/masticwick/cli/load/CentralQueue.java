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
final class CentralQueue {

	private static final int DIGITS = 3;

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final LoadOptions options;

	private final Queue<Running> running = new PriorityQueue<>(Comparator.comparingDouble(Running::endMillis));

	private final TreeSet<Waiting> queue = new TreeSet<>(
			Comparator.comparingLong((Waiting job) -> job.job.workMillis()).thenComparing((job) -> job.job.index()));

	private final Histogram singleRatios = new Histogram(DIGITS);

	private final Histogram jobRatios = new Histogram(DIGITS);

	private CentralQueue(LoadOptions options) {
		this.options = options;
	}

	/**
	 * Computes the ratios for a schedule.
	 * @param schedule the schedule
	 * @param options the options of the run
	 * @return response time over ideal
	 */
	static Ratios ratios(Schedule schedule, LoadOptions options) {
		CentralQueue central = new CentralQueue(options);
		schedule.jobs().forEach(central::arrive);
		central.passUntil(Double.POSITIVE_INFINITY);
		return new Ratios(Quantiles.of(central.singleRatios, LoadRecorder.RATIO_UNIT),
				Quantiles.of(central.jobRatios, LoadRecorder.RATIO_UNIT));
	}

	private void arrive(PlannedJob job) {
		double nowMillis = job.offsetNanos() / NANOS_PER_MILLI;
		passUntil(nowMillis);
		this.queue.add(new Waiting(job));
		startAt(nowMillis);
	}

	private void passUntil(double limitMillis) {
		while (!this.running.isEmpty() && this.running.peek().endMillis() <= limitMillis) {
			Running ended = this.running.poll();
			ended.job().unfinishedCount--;
			if (ended.job().unfinishedCount == 0) {
				record(ended.job().job, ended.endMillis());
			}
			startAt(ended.endMillis());
		}
	}

	private void startAt(double nowMillis) {
		while (!this.queue.isEmpty() && this.running.size() < this.options.slotCount()) {
			Waiting job = this.queue.first();
			this.running.add(new Running(job, nowMillis + job.runMillis[job.queuedCount - 1]));
			job.queuedCount--;
			if (job.queuedCount == 0) {
				this.queue.remove(job);
			}
		}
	}

	private void record(PlannedJob job, double endMillis) {
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
	private record Running(Waiting job, double endMillis) {

	}

	/**
	 * Is a job that has not ended.
	 */
	private static final class Waiting {

		private final PlannedJob job;

		private final int[] runMillis;

		private int queuedCount;

		private int unfinishedCount;

		private Waiting(PlannedJob job) {
			this.job = job;
			this.runMillis = job.runMillis().clone();
			Arrays.sort(this.runMillis);
			this.queuedCount = this.runMillis.length;
			this.unfinishedCount = this.runMillis.length;
		}

	}

}
