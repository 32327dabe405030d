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
 * Creates the HTTP answers to callers.
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
	 * Returns an error. The caller is advised to retry after a default delay if the code
	 * is retryable.
	 * @param code the code
	 * @param detail the explanation for the caller
	 * @return the answer
	 */
	public static HttpAnswer problem(ErrorCode code, String detail) {
		return problem(code, detail, code.retryable() ? DEFAULT_RETRY_AFTER_MILLIS : HttpAnswer.NO_RETRY);
	}

	/**
	 * Returns an error.
	 * @param code the code
	 * @param detail the explanation for the caller
	 * @param retryAfterMillis the delay after which the caller may retry, in
	 * milliseconds; negative for none; ignored unless the code is retryable
	 * @return the answer
	 */
	public static HttpAnswer problem(ErrorCode code, String detail, long retryAfterMillis) {
		return problem(code, detail, retryAfterMillis, List.of());
	}

	/**
	 * Returns an error that lists the state of each task.
	 * @param code the code
	 * @param detail the explanation for the caller
	 * @param retryAfterMillis the delay after which the caller may retry, in
	 * milliseconds; negative for none; ignored unless the code is retryable
	 * @param tasks the states in the order of the tasks; empty to list none
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
	 * Returns the answer for an exception. An exception without an error code becomes an
	 * internal error.
	 * @param ex the exception
	 * @return the answer
	 */
	public static HttpAnswer problem(Throwable ex) {
		if (ex instanceof MasticwickException masticwickException) {
			return problem(masticwickException.errorCode(), masticwickException.getMessage());
		}
		return problem(ErrorCode.INTERNAL, "The request failed because of an internal error");
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
