package org.masticwick.standin.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.standin.connection.HttpExchange;
import org.masticwick.standin.connection.StandinException;

/**
 * Request to start a task on a worker.
 *
 * @param taskId the id of the task
 * @param service the service that the task belongs to
 * @param kind the kind of the task within the service
 * @param leaseMillis the duration of the lease, in milliseconds; a task that is still
 * running then fails, and a terminated one is forgotten
 * @param payload the payload, possibly empty
 */
public record TaskRequest(String taskId, String service, String kind, long leaseMillis, byte[] payload) {

	/**
	 * Size limit of a payload, in bytes; a task with a larger one is refused as
	 * {@code never-fits}.
	 */
	public static final int MAX_PAYLOAD_BYTES = 256 * 1024;

	private static final long DEFAULT_RUN_MILLIS = 50;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Parses a request to start a task.
	 * @param taskId the id of the task
	 * @param exchange the HTTP request with the headers and the payload
	 * @return the request; a service or kind that is missing is empty
	 * @throws StandinException if {@code Task-Lease-Millis} is missing or not a positive
	 * number
	 */
	public static TaskRequest parse(String taskId, HttpExchange exchange) {
		long leaseMillis = exchange.headerLong("Task-Lease-Millis");
		if (leaseMillis <= 0) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, "Task-Lease-Millis must be positive: " + leaseMillis);
		}
		return new TaskRequest(taskId, exchange.header("Task-Service"), exchange.header("Task-Kind").intern(),
				leaseMillis, exchange.body());
	}

	/**
	 * Returns the run time that the payload asks for in its member {@code run_ms}.
	 * @return the run time in milliseconds; 50 if the payload is not JSON or has no such
	 * member
	 */
	public long requestedRunMillis() {
		if (this.payload.length == 0 || this.payload[0] != '{') {
			return DEFAULT_RUN_MILLIS;
		}
		try {
			JsonNode runMillis = MAPPER.readTree(this.payload).path("run_ms");
			return Math.max(0, runMillis.asLong(DEFAULT_RUN_MILLIS));
		}
		catch (IOException ex) {
			return DEFAULT_RUN_MILLIS;
		}
	}

	/**
	 * Computes the digest for the result, by which a test recognizes the result of
	 * another task or payload.
	 * @return the SHA-256 of kind, line feed and payload
	 */
	public byte[] digest() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update((this.kind + "\n").getBytes(StandardCharsets.UTF_8));
			return digest.digest(this.payload);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new StandinException(ErrorCode.INTERNAL, "The Java runtime lacks SHA-256, which results need", ex);
		}
	}

}
