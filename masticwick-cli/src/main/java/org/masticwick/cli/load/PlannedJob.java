package org.masticwick.cli.load;

import java.util.List;
import java.util.stream.IntStream;

import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;

/**
 * A generated job of a load run. Contains the actual run times of its tasks, which are
 * sent in the payload and are visible to endpoints only.
 *
 * @param index the index of the job in the order of generation and arrival
 * @param offsetNanos the planned send time, in nanoseconds from the start of the run
 * @param kind the kind of all tasks of the job
 * @param runMillis the actual run times of the tasks, in milliseconds
 * @param declaredMillis the declared run times of the tasks, in milliseconds; 0 if
 * undeclared
 * @param urgent whether the job is urgent
 * @param teamIndex the index of the team that submits the job
 * @param hostFraction selects the host that issues the ticket: a fraction of the list of
 * hosts, from 0 (inclusive) to 1 (exclusive)
 * @param resubmitDelayMillis the delay after which the job is submitted again, in
 * milliseconds; negative to submit it once
 */
record PlannedJob(int index, long offsetNanos, String kind, int[] runMillis, int[] declaredMillis, boolean urgent,
		int teamIndex, double hostFraction, long resubmitDelayMillis) {

	/**
	 * Returns the total work of the job.
	 * @return the sum of the actual run times in milliseconds
	 */
	long workMillis() {
		return IntStream.of(this.runMillis).asLongStream().sum();
	}

	/**
	 * Returns a lower bound of the response time: the run time of the longest task or, if
	 * greater, the total work divided by the number of slots.
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
	 * Returns the name of the team that submits the job.
	 * @return the name
	 */
	String teamName() {
		return "team-" + this.teamIndex;
	}

	/**
	 * Returns the payload of a task, which sets its run time and, by the seed of the run,
	 * is unique to the task.
	 * @param seed the seed of the run
	 * @param taskIndex the index of the task in the job
	 * @return the payload as JSON
	 */
	String payload(long seed, int taskIndex) {
		return "{\"run_ms\":" + this.runMillis[taskIndex] + ",\"id\":\"" + seed + "-" + this.index + "-" + taskIndex
				+ "\"}";
	}

	/**
	 * Creates the request that submits the job.
	 * @param options the options of the run
	 * @param service the service that the job is submitted to
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
