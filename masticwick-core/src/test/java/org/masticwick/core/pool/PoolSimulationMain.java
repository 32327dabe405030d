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
