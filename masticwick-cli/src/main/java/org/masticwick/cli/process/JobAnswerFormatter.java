package org.masticwick.cli.process;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticwick.cli.request.JobAnswer;
import org.masticwick.cli.request.Problem;

/**
 * Formats answers about jobs for the command line.
 */
final class JobAnswerFormatter {

	private JobAnswerFormatter() {
	}

	/**
	 * Formats an answer as JSON and as text.
	 * @param answer the answer about a job
	 * @return the output and the exit code
	 */
	static CommandResult format(JobAnswer answer) {
		ObjectNode json = JsonNodeFactory.instance.objectNode().put("ticket", answer.ticket());
		if (answer instanceof JobAnswer.Complete complete) {
			return formatComplete(complete, json);
		}
		if (answer instanceof JobAnswer.Refused refused) {
			return formatProblem(ExitCode.REFUSED, "refused", refused.problem(), json);
		}
		if (answer instanceof JobAnswer.Failed failed) {
			return formatProblem(ExitCode.FAILED, "failed", failed.problem(), json);
		}
		if (answer instanceof JobAnswer.Unknown unknown) {
			return formatProblem(ExitCode.UNKNOWN, "unknown", unknown.problem(), json);
		}
		String text = "ticket   " + answer.ticket() + "\noutcome  running";
		return new CommandResult(ExitCode.RUNNING, json.put("outcome", "running"), text);
	}

	private static CommandResult formatComplete(JobAnswer.Complete complete, ObjectNode json) {
		json.put("outcome", "complete");
		complete.results().forEach(json.putArray("results")::add);
		String results = IntStream.range(0, complete.results().size())
			.mapToObj((index) -> "%7d  %s".formatted(index, complete.results().get(index)))
			.collect(Collectors.joining("\n"));
		String text = "ticket   " + complete.ticket() + "\noutcome  complete\n" + results;
		return new CommandResult(ExitCode.OK, json, text);
	}

	private static CommandResult formatProblem(ExitCode exitCode, String outcome, Problem problem, ObjectNode json) {
		json.put("outcome", outcome)
			.put("code", problem.code())
			.put("ran", problem.runState().text())
			.put("retry_after_ms", problem.retryAfterMillis())
			.put("detail", problem.detail());
		problem.tasks()
			.forEach((task) -> json.withArray("/tasks")
				.addObject()
				.put("index", task.index())
				.put("state", task.state()));
		StringBuilder text = new StringBuilder("ticket   ").append(json.path("ticket").asText());
		text.append("\noutcome  ").append(outcome).append("\ncode     ").append(problem.code());
		text.append("\nran      ").append(problem.runState().text()).append("\ndetail   ").append(problem.detail());
		if (problem.retryAfterMillis() > 0) {
			text.append("\nretry    after ").append(problem.retryAfterMillis()).append(" ms");
		}
		problem.tasks().forEach((task) -> text.append("\n%7d  %s".formatted(task.index(), task.state())));
		return new CommandResult(exitCode, json, text.toString());
	}

}
