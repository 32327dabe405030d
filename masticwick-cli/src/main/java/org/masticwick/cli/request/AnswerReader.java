package org.masticwick.cli.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.masticwick.cli.connection.HttpAnswer;
import org.masticwick.core.process.RunState;

/**
 * Reads the answers of the callers' interface.
 */
final class AnswerReader {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int OK = 200;

	private AnswerReader() {
	}

	/**
	 * Reads an answer about a job.
	 * @param ticket the ticket of the job
	 * @param answer the answer
	 * @return what became of the job
	 */
	static JobAnswer job(String ticket, HttpAnswer answer) {
		if (!answer.successful()) {
			return withProblem(ticket, problem(answer));
		}
		if (answer.status() != OK) {
			return new JobAnswer.Running(ticket);
		}
		JsonNode json = tree(answer);
		List<String> results = results(json);
		boolean own = ticket.equals(json.path("ticket").asText());
		if (!own || results == null || !"complete".equals(json.path("outcome").asText())) {
			return new JobAnswer.Unknown(ticket, unreadable(answer));
		}
		return new JobAnswer.Complete(ticket, results);
	}

	/**
	 * Reads an answer that is not one of success.
	 * @param answer the answer
	 * @return the problem
	 */
	static Problem problem(HttpAnswer answer) {
		JsonNode json = tree(answer);
		String code = json.path("code").asText();
		if (code.isEmpty()) {
			return unreadable(answer);
		}
		RunState runState = Stream.of(RunState.values())
			.filter((state) -> state.text().equals(json.path("ran").asText()))
			.findFirst()
			.orElse(RunState.UNKNOWN);
		long retryAfterMillis = json.path("retry_after_ms").asLong(answer.retryAfterMillis());
		String detail = json.path("detail").asText(json.path("title").asText());
		return new Problem(code, runState, retryAfterMillis, detail, tasks(json.path("tasks")));
	}

	/**
	 * Reads a body of JSON.
	 * @param answer the answer
	 * @return the JSON; a missing node if it can't be read
	 */
	static JsonNode tree(HttpAnswer answer) {
		try {
			return MAPPER.readTree(answer.text());
		}
		catch (JsonProcessingException ex) {
			return MAPPER.missingNode();
		}
	}

	private static JobAnswer withProblem(String ticket, Problem problem) {
		return switch (problem.runState()) {
			case NOT_RUN -> new JobAnswer.Refused(ticket, problem);
			case RAN -> new JobAnswer.Failed(ticket, problem);
			case UNKNOWN, NOT_APPLICABLE -> new JobAnswer.Unknown(ticket, problem);
		};
	}

	private static List<String> results(JsonNode json) {
		JsonNode array = json.path("results");
		if (!array.isArray()) {
			return null;
		}
		List<String> results = new ArrayList<>(array.size());
		for (JsonNode result : array) {
			if (!result.isTextual()) {
				return null;
			}
			results.add(result.textValue());
		}
		return results;
	}

	private static List<Problem.TaskOutcome> tasks(JsonNode array) {
		List<Problem.TaskOutcome> tasks = new ArrayList<>();
		array.forEach(
				(task) -> tasks.add(new Problem.TaskOutcome(task.path("index").asInt(), task.path("state").asText())));
		return tasks;
	}

	private static Problem unreadable(HttpAnswer answer) {
		return Problem.of(Problem.UNREADABLE_ANSWER, RunState.UNKNOWN, "HTTP status " + answer.status());
	}

}
