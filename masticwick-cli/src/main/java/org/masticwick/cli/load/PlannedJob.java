package org.masticwick.cli.load;

import java.util.List;
import java.util.stream.IntStream;

import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;

/**
 * Is a job of a load run, with the true run times that only the endpoints see.
 *
 * @param index its place in the order of arrival
 * @param offsetNanos when it is to be sent, in nanoseconds from the start of the run
 * @param kind the kind of its tasks
 * @param runMillis the true run times, in milliseconds
 * @param declaredMillis the declared run times, in milliseconds
 * @param urgent whether it is urgent
 * @param teamIndex the number of its team
 * @param hostFraction a number from 0 to below 1 that chooses the host
 * @param resubmitDelayMillis after how long it is sent again, in milliseconds; negative
 * for never
 */
record PlannedJob(int index, long offsetNanos, String kind, int[] runMillis, int[] declaredMillis, boolean urgent,
		int teamIndex, double hostFraction, long resubmitDelayMillis) {

	/**
	 * Returns the work of the job.
	 * @return the sum of the true run times in milliseconds
	 */
	long workMillis() {
		return IntStream.of(this.runMillis).asLongStream().sum();
	}

	/**
	 * Returns the lower bound of the response time: no schedule ends before the longest
	 * task has run, nor before all the work is done by all the slots.
	 * @param slotCount the number of slots
	 * @return the bound in milliseconds
	 */
	double idealMillis(int slotCount) {
		int longestMillis = IntStream.of(this.runMillis).max().orElse(0);
		return Math.max(longestMillis, (double) workMillis() / slotCount);
	}

	/**
	 * Returns the number of tasks.
	 * @return the count
	 */
	int taskCount() {
		return this.runMillis.length;
	}

	/**
	 * Returns the name of its team.
	 * @return the name
	 */
	String teamName() {
		return "team-" + this.teamIndex;
	}

	/**
	 * Returns what an endpoint gets for a task.
	 * @param seed the seed of the run
	 * @param taskIndex the place of the task in the job
	 * @return the payload
	 */
	String payload(long seed, int taskIndex) {
		return "{\"run_ms\":" + this.runMillis[taskIndex] + ",\"id\":\"" + seed + "-" + this.index + "-" + taskIndex
				+ "\"}";
	}

	/**
	 * Makes the request.
	 * @param options the options of the run
	 * @param service the service
	 * @return the request
	 */
	JobRequest toRequest(LoadOptions options, String service) {
		List<TaskSpec> tasks = IntStream.range(0, taskCount())
			.mapToObj((taskIndex) -> new TaskSpec(this.kind, payload(options.seed(), taskIndex),
					this.declaredMillis[taskIndex], 0, 0))
			.toList();
		return new JobRequest(service, teamName(), this.urgent, false, options.deadlineMillis(), tasks);
	}

}
