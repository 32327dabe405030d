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
 * Checks the results that stand-in workers returned for a job against its tasks.
 */
final class AnswerCheck {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private AnswerCheck() {
	}

	/**
	 * Checks the number of results and that each result names its task and kind and has
	 * the expected digest.
	 * @param request the submitted job
	 * @param answer the complete answer to it
	 * @return the first violation found, or empty if the answer is correct
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
	 * Computes the digest that a stand-in worker returns for a task: the SHA-256 hash of
	 * its kind, a line feed and its payload in UTF-8.
	 * @param task the task
	 * @return the digest in hexadecimal
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
