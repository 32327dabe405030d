package org.masticwick.core.pool;

import java.util.Map;
import java.util.stream.LongStream;

/**
 * Prints the results of the pool simulation for several loads and numbers of pools.
 */
public final class PoolSimulationMain {

	private PoolSimulationMain() {
	}

	public static void main(String[] arguments) {
		for (double scale : new double[] { 0.5, 0.62 }) {
			printUneven("uneven, 10 s budget", scale, 10_000, RunVariation.LONG_TASKS);
			printUneven("uneven", scale, 1_500, RunVariation.LONG_TASKS);
		}
		printUneven("uneven, 16% 5 times slower for 6 s", 0.62, 1_500, RunVariation.LONG_TASKS.disturbed(0.16, 5));
		printUneven("uneven, 16% 7.5 times slower for 6 s", 0.62, 1_500, RunVariation.LONG_TASKS.disturbed(0.16, 7.5));
		printUneven("uneven, 14% stalled for 6 s", 0.62, 1_500, RunVariation.LONG_TASKS.disturbed(0.14, 1_000));
		if (arguments.length > 0 && arguments[0].equals("uneven")) {
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
