package org.masticwick.cli.load;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.stream.IntStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.masticwick.cli.request.JobAnswer;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskId;
import org.masticwick.core.request.TaskSpec;

/**
 * Checks complete answers of stand-in workers against their jobs.
 */
final class AnswerCheck {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private AnswerCheck() {
	}

	/**
	 * Checks an answer.
	 * @param request the job
	 * @param answer its complete answer
	 * @return the first thing that is wrong with it, or empty
	 */
	static Optional<Violation> check(JobRequest request, JobAnswer.Complete answer) {
		int expectedCount = request.tasks().size();
		if (answer.results().size() != expectedCount) {
			String detail = answer.results().size() + " results for " + expectedCount + " tasks";
			return Optional.of(new Violation(Violation.Type.PARTIAL_ANSWER, answer.ticket(), detail));
		}
		return IntStream.range(0, expectedCount)
			.filter((index) -> !matchesTask(request.tasks().get(index), new TaskId(answer.ticket(), index),
					answer.results().get(index)))
			.mapToObj((index) -> new Violation(Violation.Type.WRONG_ANSWER, answer.ticket(),
					"task " + index + ": " + answer.results().get(index)))
			.findFirst();
	}

	/**
	 * Works out the digest that a stand-in worker answers.
	 * @param task the task
	 * @return the digest in hexadecimal digits
	 */
	static String expectedDigest(TaskSpec task) {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			byte[] input = (task.kind() + "\n" + task.payload()).getBytes(StandardCharsets.UTF_8);
			return HexFormat.of().formatHex(sha256.digest(input));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static boolean matchesTask(TaskSpec task, TaskId id, String result) {
		try {
			JsonNode json = MAPPER.readTree(result);
			return id.toString().equals(json.path("task").asText()) && task.kind().equals(json.path("kind").asText())
					&& expectedDigest(task).equals(json.path("digest").asText());
		}
		catch (JsonProcessingException ex) {
			return false;
		}
	}

}
