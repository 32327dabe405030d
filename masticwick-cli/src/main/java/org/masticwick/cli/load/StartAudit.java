package org.masticwick.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.masticwick.core.request.TaskId;

/**
 * Checks the task starts that workers counted against the answers that callers received.
 *
 * @param startCountsByTaskId the number of starts by task id, summed over all workers
 */
record StartAudit(Map<String, Integer> startCountsByTaskId) {

	/**
	 * Checks all tasks of the jobs of a run.
	 * @param taskCountsByTicket the number of tasks of each submitted job, by ticket
	 * @param refusedTickets the tickets of jobs that were refused, and so must not have
	 * run
	 * @param completeTickets the tickets of jobs with a complete answer
	 * @return the violations; empty if there are none
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
	 * Counts the tasks of a run that were started at least once.
	 * @param taskCountsByTicket the number of tasks of each submitted job, by ticket
	 * @return the number of started tasks
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
