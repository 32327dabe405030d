package org.masticwick.daemon.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;

/**
 * Parses the JSON body of a submission and reports all of its problems together.
 */
public final class JobRequestReader {

	private static final Set<String> JOB_FIELDS = Set.of("service", "team", "urgent", "idempotent", "deadline_ms",
			"tasks");

	private static final Set<String> TASK_FIELDS = Set.of("kind", "payload", "declared_run_ms", "declared_memory_mb",
			"declared_accelerators");

	private static final int MAX_NAME_LENGTH = 128;

	private static final int MAX_PROBLEM_COUNT = 20;

	private final ObjectMapper mapper = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private final RequestLimits limits;

	/**
	 * Creates a reader.
	 * @param limits the limits of a submission
	 */
	public JobRequestReader(RequestLimits limits) {
		this.limits = limits;
	}

	/**
	 * Parses and validates a submission.
	 * @param body the JSON body
	 * @return the job
	 * @throws RequestException if the body is malformed, invalid or too large
	 */
	public JobRequest read(byte[] body) {
		if (body.length > this.limits.maxBodyBytes()) {
			throw new RequestException(ErrorCode.REQUEST_TOO_LARGE,
					"The body has " + body.length + " bytes; the limit is " + this.limits.maxBodyBytes());
		}
		JsonNode root = parse(body);
		List<String> problems = new ArrayList<>();
		JobRequest job = readJob(root, problems);
		if (!problems.isEmpty()) {
			throw new RequestException(ErrorCode.INVALID_REQUEST,
					String.join("; ", problems.subList(0, Math.min(problems.size(), MAX_PROBLEM_COUNT))));
		}
		return job;
	}

	private JsonNode parse(byte[] body) {
		try {
			JsonNode root = this.mapper.readTree(body);
			if (root == null || !root.isObject()) {
				throw new RequestException(ErrorCode.MALFORMED_REQUEST, "The body is not a JSON object");
			}
			return root;
		}
		catch (IOException ex) {
			throw new RequestException(ErrorCode.MALFORMED_REQUEST, "The body is not JSON: " + firstLine(ex), ex);
		}
	}

	private static String firstLine(IOException ex) {
		return String.valueOf(ex.getMessage()).lines().findFirst().orElse("unreadable");
	}

	private JobRequest readJob(JsonNode root, List<String> problems) {
		rejectUnknownFields("", root, JOB_FIELDS, problems);
		String service = readName("service", root, problems);
		String team = readName("team", root, problems);
		long deadlineMillis = readInteger("deadline_ms", root, this.limits.defaultDeadlineMillis(), 1,
				this.limits.maxDeadlineMillis(), problems);
		List<TaskSpec> tasks = readTasks(root.path("tasks"), problems);
		return new JobRequest(service, team, readBoolean("urgent", root, problems),
				readBoolean("idempotent", root, problems), deadlineMillis, tasks);
	}

	private List<TaskSpec> readTasks(JsonNode tasks, List<String> problems) {
		if (!tasks.isArray() || tasks.isEmpty() || tasks.size() > this.limits.maxTaskCount()) {
			problems.add("tasks: an array of 1 to " + this.limits.maxTaskCount() + " tasks is required");
			return List.of();
		}
		return StreamSupport.stream(tasks.spliterator(), false).map((task) -> readTask(task, problems)).toList();
	}

	private TaskSpec readTask(JsonNode task, List<String> problems) {
		if (!task.isObject()) {
			problems.add("tasks: each task is an object");
			return new TaskSpec("", "", 0, 0, 0);
		}
		rejectUnknownFields("tasks.", task, TASK_FIELDS, problems);
		return new TaskSpec(readName("kind", task, problems), readPayload(task, problems),
				readInteger("declared_run_ms", task, 0, 0, Long.MAX_VALUE, problems),
				readInteger("declared_memory_mb", task, 0, 0, Long.MAX_VALUE, problems),
				(int) readInteger("declared_accelerators", task, 0, 0, Integer.MAX_VALUE, problems));
	}

	private String readPayload(JsonNode task, List<String> problems) {
		JsonNode payload = task.path("payload");
		if (payload.isMissingNode()) {
			return "";
		}
		if (!payload.isTextual()) {
			problems.add("payload: text is required");
			return "";
		}
		String text = payload.textValue();
		if (text.length() > this.limits.maxPayloadBytes()
				|| text.getBytes(StandardCharsets.UTF_8).length > this.limits.maxPayloadBytes()) {
			throw new RequestException(ErrorCode.REQUEST_TOO_LARGE,
					"A payload is larger than " + this.limits.maxPayloadBytes() + " bytes");
		}
		return text;
	}

	private static void rejectUnknownFields(String prefix, JsonNode node, Set<String> allowedFields,
			List<String> problems) {
		node.fieldNames().forEachRemaining((field) -> {
			if (!allowedFields.contains(field)) {
				problems.add(prefix + field + ": unknown field");
			}
		});
	}

	private static String readName(String field, JsonNode node, List<String> problems) {
		JsonNode value = node.path(field);
		if (!value.isTextual() || value.textValue().isBlank() || value.textValue().length() > MAX_NAME_LENGTH) {
			problems.add(field + ": text of 1 to " + MAX_NAME_LENGTH + " characters is required");
			return "";
		}
		return value.textValue();
	}

	private static boolean readBoolean(String field, JsonNode node, List<String> problems) {
		JsonNode value = node.path(field);
		if (!value.isMissingNode() && !value.isBoolean()) {
			problems.add(field + ": true or false is required");
		}
		return value.asBoolean(false);
	}

	private static long readInteger(String field, JsonNode node, long defaultValue, long min, long max,
			List<String> problems) {
		JsonNode value = node.path(field);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.canConvertToLong() || !value.isIntegralNumber() || value.longValue() < min
				|| value.longValue() > max) {
			problems.add(field + ": a whole number from " + min + " to " + max + " is required");
			return defaultValue;
		}
		return value.longValue();
	}

}
