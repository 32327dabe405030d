package org.masticwick.cli.request;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.masticwick.cli.connection.HttpResponse;
import org.masticwick.core.process.RunState;

/**
 * Converts HTTP responses of the callers' API of an entry host.
 */
final class ResponseReader {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int HTTP_OK = 200;

	private ResponseReader() {
	}

	/**
	 * Converts a response to a request about a job.
	 * @param ticket the ticket of the job
	 * @param response the response
	 * @return the answer; {@link JobAnswer.Unknown} if the response can't be read or is
	 * about another ticket
	 */
	static JobAnswer readJobAnswer(String ticket, HttpResponse response) {
		if (!response.successful()) {
			return toJobAnswer(ticket, readProblem(response));
		}
		if (response.status() != HTTP_OK) {
			return new JobAnswer.Running(ticket);
		}
		JsonNode json = parseJson(response);
		List<String> results = readResults(json);
		boolean ticketMatches = ticket.equals(json.path("ticket").asText());
		if (!ticketMatches || results == null || !"complete".equals(json.path("outcome").asText())) {
			return new JobAnswer.Unknown(ticket, unreadableAnswer(response));
		}
		return new JobAnswer.Complete(ticket, results);
	}

	/**
	 * Converts an error response.
	 * @param response the response
	 * @return the problem; its code is {@link Problem#UNREADABLE_ANSWER} if the response
	 * has none
	 */
	static Problem readProblem(HttpResponse response) {
		JsonNode json = parseJson(response);
		String code = json.path("code").asText();
		if (code.isEmpty()) {
			return unreadableAnswer(response);
		}
		RunState runState = Stream.of(RunState.values())
			.filter((state) -> state.text().equals(json.path("ran").asText()))
			.findFirst()
			.orElse(RunState.UNKNOWN);
		long retryAfterMillis = json.path("retry_after_ms").asLong(response.retryAfterMillis());
		String detail = json.path("detail").asText(json.path("title").asText());
		return new Problem(code, runState, retryAfterMillis, detail, readTaskOutcomes(json.path("tasks")));
	}

	/**
	 * Parses the body of a response as JSON.
	 * @param response the response
	 * @return the JSON; a missing node if the body is not valid JSON
	 */
	static JsonNode parseJson(HttpResponse response) {
		try {
			return MAPPER.readTree(response.text());
		}
		catch (JsonProcessingException ex) {
			return MAPPER.missingNode();
		}
	}

	private static JobAnswer toJobAnswer(String ticket, Problem problem) {
		return switch (problem.runState()) {
			case NOT_RUN -> new JobAnswer.Refused(ticket, problem);
			case RAN -> new JobAnswer.Failed(ticket, problem);
			case UNKNOWN, NOT_APPLICABLE -> new JobAnswer.Unknown(ticket, problem);
		};
	}

	private static List<String> readResults(JsonNode json) {
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

	private static List<Problem.TaskOutcome> readTaskOutcomes(JsonNode array) {
		List<Problem.TaskOutcome> tasks = new ArrayList<>();
		array.forEach(
				(task) -> tasks.add(new Problem.TaskOutcome(task.path("index").asInt(), task.path("state").asText())));
		return tasks;
	}

	private static Problem unreadableAnswer(HttpResponse response) {
		return Problem.of(Problem.UNREADABLE_ANSWER, RunState.UNKNOWN, "HTTP status " + response.status());
	}

}
