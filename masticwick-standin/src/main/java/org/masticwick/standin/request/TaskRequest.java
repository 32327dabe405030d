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
 * Is what a worker is asked to run.
 *
 * @param taskId the id of the task
 * @param service the service it is meant for
 * @param kind the kind of task
 * @param leaseMillis how long the worker keeps the task, in milliseconds
 * @param payload the payload
 */
public record TaskRequest(String taskId, String service, String kind, long leaseMillis, byte[] payload) {

	/** How large a payload may be, in bytes; a larger one never fits. */
	public static final int MAX_PAYLOAD_BYTES = 256 * 1024;

	private static final long DEFAULT_RUN_MILLIS = 50;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Reads a request.
	 * @param taskId the id of the task
	 * @param exchange the message
	 * @return the request
	 * @throws StandinException if a header is missing or wrong
	 */
	public static TaskRequest parse(String taskId, HttpExchange exchange) {
		long leaseMillis = exchange.headerLong("Task-Lease-Millis");
		if (leaseMillis <= 0) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, "The lease must be positive: " + leaseMillis);
		}
		return new TaskRequest(taskId, exchange.header("Task-Service"), exchange.header("Task-Kind").intern(),
				leaseMillis, exchange.body());
	}

	/**
	 * Returns how long the payload says that the task runs.
	 * @return the run time in milliseconds
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
	 * Returns the digest that the result holds.
	 * @return the SHA-256 of kind, line feed and payload
	 */
	public byte[] digest() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update((this.kind + "\n").getBytes(StandardCharsets.UTF_8));
			return digest.digest(this.payload);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new StandinException(ErrorCode.INTERNAL, "No SHA-256", ex);
		}
	}

}
