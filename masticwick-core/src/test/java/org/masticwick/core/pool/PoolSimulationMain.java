package org.masticwick.core.pool;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.LongStream;

/**
 * Prints the results of the pool simulation for several loads and numbers of pools.
 */
public final class PoolSimulationMain {

	private PoolSimulationMain() {
	}

	public static void main(String[] arguments) {
		if (arguments.length > 0 && arguments[0].equals("uneven")) {
			printUneven();
			return;
		}
		if (arguments.length > 0) {
			printOverload(Long.parseLong(arguments[0]));
			return;
		}
		double[] scales = { 0.6, 1.0, 1.15, 1.5 };
		for (double scale : scales) {
			for (int poolCount : new int[] { 1, 3, 7 }) {
				print("mix", PoolSimulation.Load.mix(scale, 1.6), poolCount);
			}
		}
		for (double scale : new double[] { 0.7, 1.0, 1.2, 1.5 }) {
			for (int poolCount : new int[] { 1, 5 }) {
				print("large", PoolSimulation.Load.large(scale, 1.4), poolCount);
			}
		}
	}

	private static void printOverload(long seed) {
		printOverload("latest start time alone", LatestStartAdmission::new, seed);
		printOverload("cost of work", () -> new LoadShedding(new PriorityCost()), seed);
		printOverload("fair shares by weights of priorities",
				() -> new LoadShedding((queue, poolMeanWork) -> -queue.admittedWork() * Math.pow(2, queue.priority())),
				seed);
		printOverload("equal shares of queues", () -> new LoadShedding((queue, poolMeanWork) -> -queue.admittedWork()),
				seed);
		printOverload("strict priorities", () -> new LoadShedding((queue, poolMeanWork) -> -queue.priority()), seed);
	}

	private static void printOverload(String policy, Supplier<AdmissionPolicy> admission, long seed) {
		System.out.println(policy + ", seed " + seed);
		for (double scale : new double[] { 0.7, 0.9, 1.1, 1.4, 2.0 }) {
			printByQueue("load " + scale, PoolSimulation.Load.small(scale), seed, admission);
		}
		PoolSimulation.Load burst = PoolSimulation.Load.small(0.7)
			.with(16_000, List.of(new PoolSimulation.Burst("", 1.9, 4_000, 11_000)),
					new PoolSimulation.Outage(0.2, 4_000, 11_000));
		printByQueue("burst 1.9, outage 0.2", burst, seed, admission);
		PoolSimulation.Load recovery = PoolSimulation.Load.small(0.7)
			.with(50_000, List.of(new PoolSimulation.Burst("", 2.0 / 0.7, 2_000, 12_000)),
					new PoolSimulation.Outage(0, 0, 0))
			.withReturningCallers();
		printByQueue("2.0 for 10 s, callers return", recovery, seed, admission);
	}

	private static void printByQueue(String name, PoolSimulation.Load load, long seed,
			Supplier<AdmissionPolicy> admission) {
		PoolSimulation simulation = new PoolSimulation(load, 3, seed, admission);
		Map<String, PoolSimulation.Result> results = simulation.run();
		double earned = results.values().stream().mapToDouble(PoolSimulation.Result::earnedValue).sum();
		double offered = results.values().stream().mapToDouble(PoolSimulation.Result::offeredValue).sum();
		System.out.printf("%s: earned %.3f of %.3f = %.3f%n", name, earned, offered, earned / offered);
		new TreeMap<>(results).forEach((queue, result) -> {
			StringBuilder seconds = new StringBuilder();
			simulation.resultsBySecond()
				.get(queue)
				.values()
				.forEach((second) -> seconds.append(String.format(" %.2f", second.valueShare())));
			System.out.printf("  %-8s value %.3f on time %.3f refused %.3f uncertain %.3f large %.2f %.2f | %s%n",
					queue, result.valueShare(), result.onTimeShare(), result.share(JobOutcome.Kind.REFUSED),
					result.share(JobOutcome.Kind.UNCERTAIN), result.servedShare(0.9, 1), result.servedShare(0.7, 0.9),
					seconds);
		});
		StringBuilder returns = new StringBuilder();
		simulation.returnedWorkBySecond()
			.forEach((second, work) -> returns
				.append(String.format(" %d:%.2f", second, work / (load.totalMillicores() * 1_000.0))));
		if (!returns.isEmpty()) {
			System.out.println("  returned work by second, of the capacity:" + returns);
		}
	}

	private static void printUneven() {
		for (double scale : new double[] { 0.5, 0.62 }) {
			printUneven("uneven, 10 s budget", scale, 10_000, RunVariation.LONG_TASKS);
			printUneven("uneven", scale, 1_500, RunVariation.LONG_TASKS);
		}
		printUneven("uneven, 16% 5 times slower for 6 s", 0.62, 1_500, RunVariation.LONG_TASKS.disturbed(0.16, 5));
		printUneven("uneven, 16% 7.5 times slower for 6 s", 0.62, 1_500, RunVariation.LONG_TASKS.disturbed(0.16, 7.5));
		printUneven("uneven, 14% stalled for 6 s", 0.62, 1_500, RunVariation.LONG_TASKS.disturbed(0.14, 1_000));
	}

	/**
	 * Prints what callers get, and what it costs, on endpoints of unequal speed with some
	 * tasks that take far longer than others.
	 */
	private static void printUneven(String name, double scale, long budgetMillis, RunVariation variation) {
		for (long seed = 1; seed <= 3; seed++) {
			PoolSimulation simulation = new PoolSimulation(PoolSimulation.Load.uneven(scale, budgetMillis), variation,
					4, seed);
			Map<String, PoolSimulation.Result> results = simulation.run();
			System.out.printf(
					"%s %.2f seed %d stopped as slow %d discarded %.4f suspected %.4f starts on disturbed endpoints %d%n",
					name, scale, seed, simulation.slowStopCount(), simulation.wastedShare(),
					simulation.suspectedShare(), simulation.disturbedStartCount());
			results.forEach((queue, result) -> System.out.printf(
					"  %-8s on time %.4f late %.4f refused %.4f uncertain %.4f; late by restart %.4f, slow endpoint %.4f, wait %.4f%n",
					queue, result.onTimeShare(), result.completedLateShare(), result.share(JobOutcome.Kind.REFUSED),
					result.share(JobOutcome.Kind.UNCERTAIN), result.lateShare(PoolSimulation.LateCause.RESTART),
					result.lateShare(PoolSimulation.LateCause.SLOW_ENDPOINT),
					result.lateShare(PoolSimulation.LateCause.WAIT)));
		}
	}

	private static void print(String name, PoolSimulation.Load load, int poolCount) {
		StringBuilder line = new StringBuilder();
		double[] sums = new double[2];
		LongStream.rangeClosed(1, 3).forEach((seed) -> {
			Map<String, PoolSimulation.Result> results = new PoolSimulation(load, poolCount, seed).run();
			sums[0] += results.values().stream().mapToDouble(PoolSimulation.Result::earnedValue).sum();
			sums[1] += results.values().stream().mapToDouble(PoolSimulation.Result::offeredValue).sum();
			if (seed == 1) {
				results.forEach((queue,
						result) -> line.append(String.format(" %s %.2f/%.2f/%.2f/%.3f", queue, result.onTimeShare(),
								result.lateShare(), result.share(JobOutcome.Kind.REFUSED),
								result.share(JobOutcome.Kind.UNCERTAIN))));
			}
		});
		System.out.printf("%s %.2f pools %d earned value %.3f on time/late/refused/uncertain:%s%n", name, load.scale(),
				poolCount, sums[0] / sums[1], line);
	}

}
