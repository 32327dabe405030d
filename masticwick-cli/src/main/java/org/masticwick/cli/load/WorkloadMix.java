package org.masticwick.cli.load;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The service, task kinds and job sizes of a generated workload. All tasks of a job have
 * the same kind.
 *
 * @param service the service that the jobs are submitted to
 * @param kinds the kinds of task and their shares
 * @param jobSizes the distribution of the number of tasks of a job
 */
record WorkloadMix(String service, List<Kind> kinds, JobSizeModel jobSizes) {

	private static final String FITTING_SERVICE = "shop-counter-fitting";

	private static final String MEAL_SERVICE = "meal-application";

	private static final List<Kind> FITTING_KINDS = List.of(new Kind("width-check", 0.5, new RunTimeModel(90, 0.4, 0)),
			new Kind("growth-room-assessment", 0.3, new RunTimeModel(300, 0.5, 0.01)),
			new Kind("last-size-lookup", 0.2, new RunTimeModel(60, 0.3, 0)));

	private static final List<Kind> MEAL_KINDS = List.of(
			new Kind("eligibility-check", 0.6, new RunTimeModel(150, 0.6, 0.005)),
			new Kind("household-verification", 0.2, new RunTimeModel(500, 0.5, 0.03)),
			new Kind("roster-confirmation", 0.2, new RunTimeModel(100, 0.4, 0)));

	private static final Kind SHORT_KIND = new Kind("width-check", 1, new RunTimeModel(50, 0, 0));

	private static final Map<String, WorkloadMix> MIXES = new TreeMap<>(
			Map.of("guild", new WorkloadMix(FITTING_SERVICE, FITTING_KINDS, new JobSizeModel.HeavyTailed(0.7, 1.6)),
					"cooperativa", new WorkloadMix(MEAL_SERVICE, MEAL_KINDS, new JobSizeModel.HeavyTailed(0.4, 1.1)),
					"single", new WorkloadMix(FITTING_SERVICE, FITTING_KINDS, new JobSizeModel.Fixed(1)), "jobs",
					new WorkloadMix(MEAL_SERVICE, MEAL_KINDS, new JobSizeModel.HeavyTailed(0, 1.1)), "short",
					new WorkloadMix(FITTING_SERVICE, List.of(SHORT_KIND), new JobSizeModel.Fixed(1))));

	/**
	 * Returns the names of the predefined mixes.
	 * @return the names
	 */
	static Set<String> names() {
		return MIXES.keySet();
	}

	/**
	 * Returns the predefined mix of a name.
	 * @param name the name of the mix
	 * @return the mix
	 * @throws IllegalArgumentException if no mix has the name
	 */
	static WorkloadMix byName(String name) {
		WorkloadMix mix = MIXES.get(name);
		if (mix == null) {
			throw new IllegalArgumentException("Unknown mix " + name + "; available mixes are " + names());
		}
		return mix;
	}

	/**
	 * Picks a kind with a probability equal to its share.
	 * @param uniformSample a uniformly distributed sample from 0 (inclusive) to 1
	 * (exclusive)
	 * @return the kind
	 */
	Kind pickKind(double uniformSample) {
		double[] cumulativeShares = this.kinds.stream().mapToDouble(Kind::share).toArray();
		Arrays.parallelPrefix(cumulativeShares, Double::sum);
		int index = 0;
		while (index < cumulativeShares.length - 1 && uniformSample >= cumulativeShares[index]) {
			index++;
		}
		return this.kinds.get(index);
	}

	/**
	 * A kind of task.
	 *
	 * @param name the name of the kind
	 * @param share the fraction of jobs whose tasks are of the kind
	 * @param runTimeModel the distribution of the actual run times
	 */
	record Kind(String name, double share, RunTimeModel runTimeModel) {

	}

}
