package org.masticwick.cli.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * All jobs of a load run with their send times. The same options always generate the same
 * schedule.
 *
 * @param jobs the jobs in the order of arrival
 * @param workMillis the sum of the actual run times of all tasks, in milliseconds
 */
record Schedule(List<PlannedJob> jobs, long workMillis) {

	private static final double DECLARED_SIGMA = 1.2;

	private static final double UNDECLARED_FRACTION = 0.1;

	private static final long RESUBMIT_DELAY_MAX_MILLIS = 300;

	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * Generates the jobs of a load run from the seed.
	 * @param options the options of the run
	 * @return the schedule
	 */
	static Schedule generate(LoadOptions options) {
		WorkloadMix mix = WorkloadMix.byName(options.mix());
		SplittableRandom random = new SplittableRandom(options.seed());
		List<PlannedJob> drawn = drawJobs(options, mix, random);
		long[] offsetsNanos = drawOffsetsNanos(options, drawn.size(), random);
		List<PlannedJob> jobs = new ArrayList<>(drawn.size());
		for (int index = 0; index < offsetsNanos.length; index++) {
			jobs.add(withOffset(drawn.get(index), offsetsNanos[index]));
		}
		return new Schedule(jobs, jobs.stream().mapToLong(PlannedJob::workMillis).sum());
	}

	private static List<PlannedJob> drawJobs(LoadOptions options, WorkloadMix mix, RandomGenerator random) {
		double targetWorkMillis = options.loadFraction() * options.slotCount() * options.durationMillis();
		double targetCount = options.ratePerSecond() * options.durationMillis() / MILLIS_PER_SECOND;
		boolean byRate = options.ratePerSecond() > 0;
		List<PlannedJob> jobs = new ArrayList<>();
		double drawnWorkMillis = 0;
		while (byRate ? (jobs.size() < targetCount) : (drawnWorkMillis < targetWorkMillis)) {
			PlannedJob job = drawJob(options, mix, jobs.size(), random);
			jobs.add(job);
			drawnWorkMillis += job.workMillis();
		}
		return jobs;
	}

	private static PlannedJob drawJob(LoadOptions options, WorkloadMix mix, int index, RandomGenerator random) {
		WorkloadMix.Kind kind = mix.pickKind(random.nextDouble());
		int[] runMillis = new int[mix.jobSizes().drawTaskCount(random)];
		Arrays.setAll(runMillis, (taskIndex) -> kind.runTimeModel().drawMillis(random));
		int[] declaredMillis = new int[runMillis.length];
		Arrays.setAll(declaredMillis, (taskIndex) -> drawDeclaredMillis(runMillis[taskIndex], random));
		boolean urgent = random.nextDouble() < options.urgentFraction();
		int team = random.nextInt(options.teamCount());
		boolean resubmitted = random.nextDouble() < options.resubmitFraction();
		long resubmitDelayMillis = random.nextLong(RESUBMIT_DELAY_MAX_MILLIS);
		return new PlannedJob(index, 0, kind.name(), runMillis, declaredMillis, urgent, team, random.nextDouble(),
				resubmitted ? resubmitDelayMillis : -1);
	}

	private static int drawDeclaredMillis(int runMillis, RandomGenerator random) {
		double factor = Math.exp(DECLARED_SIGMA * random.nextGaussian());
		boolean declared = random.nextDouble() >= UNDECLARED_FRACTION;
		return declared ? (int) Math.max(1, runMillis * factor) : 0;
	}

	private static long[] drawOffsetsNanos(LoadOptions options, int count, RandomGenerator random) {
		long durationNanos = TimeUnit.MILLISECONDS.toNanos(options.durationMillis());
		long[] offsetsNanos = new long[count];
		Arrays.setAll(offsetsNanos,
				(index) -> (long) (options.pattern().toRunFraction(random.nextDouble()) * durationNanos));
		Arrays.sort(offsetsNanos);
		return offsetsNanos;
	}

	private static PlannedJob withOffset(PlannedJob job, long offsetNanos) {
		return new PlannedJob(job.index(), offsetNanos, job.kind(), job.runMillis(), job.declaredMillis(), job.urgent(),
				job.teamIndex(), job.hostFraction(), job.resubmitDelayMillis());
	}

}
