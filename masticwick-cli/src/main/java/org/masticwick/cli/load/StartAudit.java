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
 * @param startCountsByTaskId how often each task was started, over all workers
 */
record StartAudit(Map<String, Integer> startCountsByTaskId) {

	/**
	 * Checks all jobs of a run.
	 * @param taskCountsByTicket the tickets that were used, each with the number of tasks
	 * @param refusedTickets the tickets that were said not to have run
	 * @param completeTickets the tickets that had a complete answer
	 * @return what is wrong
	 */
	List<Violation> check(Map<String, Integer> taskCountsByTicket, Set<String> refusedTickets,
			Set<String> completeTickets) {
		List<Violation> violations = new ArrayList<>();
		taskCountsByTicket.forEach((ticket, taskCount) -> taskIds(ticket, taskCount)
			.map((taskId) -> checkTask(ticket, taskId, refusedTickets.contains(ticket),
					completeTickets.contains(ticket)))
			.filter((violation) -> violation != null)
			.forEach(violations::add));
		return violations;
	}

	/**
	 * Counts the tasks of a run that were started.
	 * @param taskCountsByTicket the tickets that were used, each with the number of tasks
	 * @return the count
	 */
	long startedTaskCount(Map<String, Integer> taskCountsByTicket) {
		return taskCountsByTicket.entrySet()
			.stream()
			.flatMap((job) -> taskIds(job.getKey(), job.getValue()))
			.filter(this.startCountsByTaskId::containsKey)
			.count();
	}

	private Violation checkTask(String ticket, String taskId, boolean refused, boolean complete) {
		int startCount = this.startCountsByTaskId.getOrDefault(taskId, 0);
		if (startCount > 1) {
			return new Violation(Violation.Type.STARTED_TWICE, ticket,
					taskId + " was started " + startCount + " times");
		}
		if (startCount > 0 && refused) {
			return new Violation(Violation.Type.STARTED_AFTER_NOT_RUN, ticket, taskId + " was started");
		}
		if (startCount == 0 && complete) {
			return new Violation(Violation.Type.NEVER_STARTED, ticket, taskId + " was not started");
		}
		return null;
	}

	private static Stream<String> taskIds(String ticket, int taskCount) {
		return IntStream.range(0, taskCount).mapToObj((index) -> new TaskId(ticket, index).toString());
	}

}
