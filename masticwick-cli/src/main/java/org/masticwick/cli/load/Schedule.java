package org.masticwick.cli.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Is the plan of all jobs of a load run. The same options give the same plan.
 *
 * @param jobs the jobs in the order of arrival
 * @param workMillis the work of all jobs, in milliseconds
 */
record Schedule(List<PlannedJob> jobs, long workMillis) {

	private static final double DECLARED_SIGMA = 1.2;

	private static final double UNDECLARED_FRACTION = 0.1;

	private static final long RESUBMIT_DELAY_MAX_MILLIS = 300;

	private static final long SECOND_MILLIS = 1_000;

	/**
	 * Draws the jobs of a run.
	 * @param options the options of the run
	 * @return the plan
	 */
	static Schedule plan(LoadOptions options) {
		Mix mix = Mix.byName(options.mix());
		SplittableRandom random = new SplittableRandom(options.seed());
		List<PlannedJob> drawn = draw(options, mix, random);
		long[] offsets = offsets(options, drawn.size(), random);
		List<PlannedJob> jobs = new ArrayList<>(drawn.size());
		for (int index = 0; index < offsets.length; index++) {
			jobs.add(at(drawn.get(index), offsets[index]));
		}
		return new Schedule(jobs, jobs.stream().mapToLong(PlannedJob::workMillis).sum());
	}

	private static List<PlannedJob> draw(LoadOptions options, Mix mix, RandomGenerator random) {
		double targetWork = options.loadFraction() * options.slotCount() * options.durationMillis();
		double targetCount = options.ratePerSecond() * options.durationMillis() / SECOND_MILLIS;
		boolean byRate = options.ratePerSecond() > 0;
		List<PlannedJob> jobs = new ArrayList<>();
		double work = 0;
		while (byRate ? (jobs.size() < targetCount) : (work < targetWork)) {
			PlannedJob job = job(options, mix, jobs.size(), random);
			jobs.add(job);
			work += job.workMillis();
		}
		return jobs;
	}

	private static PlannedJob job(LoadOptions options, Mix mix, int index, RandomGenerator random) {
		Mix.Kind kind = mix.kindAt(random.nextDouble());
		int[] runMillis = new int[mix.sizes().draw(random)];
		Arrays.setAll(runMillis, (task) -> kind.runTimes().drawMillis(random));
		int[] declaredMillis = new int[runMillis.length];
		Arrays.setAll(declaredMillis, (task) -> declared(runMillis[task], random));
		boolean urgent = random.nextDouble() < options.urgentFraction();
		int team = random.nextInt(options.teamCount());
		boolean resubmitted = random.nextDouble() < options.resubmitFraction();
		long resubmitDelay = random.nextLong(RESUBMIT_DELAY_MAX_MILLIS);
		return new PlannedJob(index, 0, kind.name(), runMillis, declaredMillis, urgent, team, random.nextDouble(),
				resubmitted ? resubmitDelay : -1);
	}

	private static int declared(int runMillis, RandomGenerator random) {
		double factor = Math.exp(DECLARED_SIGMA * random.nextGaussian());
		boolean declared = random.nextDouble() >= UNDECLARED_FRACTION;
		return declared ? (int) Math.max(1, runMillis * factor) : 0;
	}

	private static long[] offsets(LoadOptions options, int count, RandomGenerator random) {
		long durationNanos = TimeUnit.MILLISECONDS.toNanos(options.durationMillis());
		long[] offsets = new long[count];
		Arrays.setAll(offsets, (index) -> (long) (options.pattern().place(random.nextDouble()) * durationNanos));
		Arrays.sort(offsets);
		return offsets;
	}

	private static PlannedJob at(PlannedJob job, long offsetNanos) {
		return new PlannedJob(job.index(), offsetNanos, job.kind(), job.runMillis(), job.declaredMillis(), job.urgent(),
				job.team(), job.place(), job.resubmitDelayMillis());
	}

}
