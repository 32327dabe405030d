package org.masticwick.daemon.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.IntStream;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Writes the answers to callers.
 */
public final class Answers {

	private static final JsonFactory JSON = new JsonFactory();

	private static final long DEFAULT_RETRY_AFTER_MILLIS = 1000;

	private Answers() {
	}

	/**
	 * Returns the answer of a job whose tasks all succeeded.
	 * @param ticket the ticket
	 * @param results the results in the order of the tasks
	 * @return the answer
	 */
	public static HttpAnswer complete(String ticket, List<String> results) {
		return HttpAnswer.json(200, write((json) -> {
			json.writeStringField("ticket", ticket);
			json.writeStringField("outcome", "complete");
			json.writeArrayFieldStart("results");
			for (String result : results) {
				json.writeString(result);
			}
			json.writeEndArray();
		}));
	}

	/**
	 * Returns the answer for a job that has not ended.
	 * @param ticket the ticket
	 * @return the answer
	 */
	public static HttpAnswer running(String ticket) {
		return HttpAnswer.json(202, write((json) -> {
			json.writeStringField("ticket", ticket);
			json.writeStringField("outcome", "running");
		}));
	}

	/**
	 * Returns an error with the advice to come back that its code suggests.
	 * @param code the code
	 * @param detail the details for people
	 * @return the answer
	 */
	public static HttpAnswer problem(ErrorCode code, String detail) {
		return problem(code, detail, code.retryable() ? DEFAULT_RETRY_AFTER_MILLIS : HttpAnswer.NO_RETRY);
	}

	/**
	 * Returns an error.
	 * @param code the code
	 * @param detail the details for people
	 * @param retryAfterMillis when to come back, in milliseconds; negative for never
	 * @return the answer
	 */
	public static HttpAnswer problem(ErrorCode code, String detail, long retryAfterMillis) {
		return problem(code, detail, retryAfterMillis, List.of());
	}

	/**
	 * Returns an error that tells how far each task came.
	 * @param code the code
	 * @param detail the details for people
	 * @param retryAfterMillis when to come back, in milliseconds; negative for never, and
	 * not told with a code that is for good
	 * @param tasks the states in the order of the tasks; empty if there is nothing to
	 * tell
	 * @return the answer
	 */
	public static HttpAnswer problem(ErrorCode code, String detail, long retryAfterMillis, List<TaskState> tasks) {
		long sentRetryAfterMillis = code.retryable() ? retryAfterMillis : HttpAnswer.NO_RETRY;
		byte[] body = write((json) -> {
			json.writeStringField("type", "urn:masticwick:problem:" + code.code());
			json.writeStringField("title", code.name().toLowerCase().replace('_', ' '));
			json.writeNumberField("status", code.httpStatus());
			json.writeStringField("detail", detail);
			json.writeStringField("code", code.code());
			json.writeStringField("ran", code.runState().text());
			if (sentRetryAfterMillis >= 0) {
				json.writeNumberField("retry_after_ms", sentRetryAfterMillis);
			}
			writeTasks(json, tasks);
		});
		return new HttpAnswer(code.httpStatus(), HttpAnswer.PROBLEM_JSON, body, sentRetryAfterMillis);
	}

	/**
	 * Turns an error from below into an answer.
	 * @param ex the error
	 * @return the answer
	 */
	public static HttpAnswer problem(Throwable ex) {
		if (ex instanceof MasticwickException masticwickException) {
			return problem(masticwickException.errorCode(), masticwickException.getMessage());
		}
		return problem(ErrorCode.INTERNAL, "The request met a fault of the program");
	}

	private static void writeTasks(JsonGenerator json, List<TaskState> tasks) throws IOException {
		if (tasks.isEmpty()) {
			return;
		}
		json.writeArrayFieldStart("tasks");
		for (int index : IntStream.range(0, tasks.size()).toArray()) {
			json.writeStartObject();
			json.writeNumberField("index", index);
			json.writeStringField("state", tasks.get(index).text());
			json.writeEndObject();
		}
		json.writeEndArray();
	}

	private static byte[] write(JsonBody body) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try (JsonGenerator json = JSON.createGenerator(out)) {
			json.writeStartObject();
			body.write(json);
			json.writeEndObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toByteArray();
	}

	/**
	 * Writes the fields of a JSON object.
	 */
	private interface JsonBody {

		void write(JsonGenerator json) throws IOException;

	}

}
