package org.masticwick.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.masticwick.core.request.TaskId;

/**
 * Compares what the workers started with what callers were told.
 *
 * @param startsByTask how often each task was started, over all workers
 */
record StartAudit(Map<String, Integer> startsByTask) {

	/**
	 * Checks all jobs of a run.
	 * @param jobs the tickets that were used, each with the number of tasks
	 * @param refused the tickets that were said not to have run
	 * @param complete the tickets that had a complete answer
	 * @return what is wrong
	 */
	List<Violation> check(Map<String, Integer> jobs, Set<String> refused, Set<String> complete) {
		List<Violation> violations = new ArrayList<>();
		jobs.forEach((ticket, taskCount) -> tasks(ticket, taskCount)
			.map((task) -> violation(ticket, task, refused.contains(ticket), complete.contains(ticket)))
			.filter((violation) -> violation != null)
			.forEach(violations::add));
		return violations;
	}

	/**
	 * Counts the tasks of a run that were started.
	 * @param jobs the tickets that were used, each with the number of tasks
	 * @return the count
	 */
	long startedTaskCount(Map<String, Integer> jobs) {
		return jobs.entrySet()
			.stream()
			.flatMap((job) -> tasks(job.getKey(), job.getValue()))
			.filter(this.startsByTask::containsKey)
			.count();
	}

	private Violation violation(String ticket, String task, boolean refused, boolean complete) {
		int count = this.startsByTask.getOrDefault(task, 0);
		if (count > 1) {
			return new Violation(Violation.Type.STARTED_TWICE, ticket, task + " was started " + count + " times");
		}
		if (count > 0 && refused) {
			return new Violation(Violation.Type.STARTED_AFTER_NOT_RUN, ticket, task + " was started");
		}
		if (count == 0 && complete) {
			return new Violation(Violation.Type.NEVER_STARTED, ticket, task + " was not started");
		}
		return null;
	}

	private static Stream<String> tasks(String ticket, int taskCount) {
		return IntStream.range(0, taskCount).mapToObj((index) -> new TaskId(ticket, index).toString());
	}

}
