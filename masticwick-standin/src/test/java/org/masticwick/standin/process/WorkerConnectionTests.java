package org.masticwick.standin.process;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.standin.connection.Json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link WorkerFleet} at the level of connections and the bytes sent on them.
 */
class WorkerConnectionTests {

	private static final int DELAY_MILLIS = 150;

	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private static final int RESULT_BYTES = 101;

	private final WorkerFleet fleet = new WorkerFleet(
			new WorkerOptions("127.0.0.1", 1, "d", List.of("r1"), "meals", 2, 2, null), TimeSource.system());

	private HostAddress workerAddress;

	@BeforeEach
	void open() {
		this.workerAddress = this.fleet.open().get(0);
	}

	@AfterEach
	void close() {
		this.fleet.close();
	}

	@Test
	void closesConnectionsOverTheLimitAtAccept() throws IOException {
		try (Socket first = connect(); Socket second = connect()) {
			assertThat(post(first, "t.0")).isEqualTo(RESULT_BYTES);
			assertThat(post(second, "t.1")).isEqualTo(RESULT_BYTES);
			try (Socket third = connect()) {
				assertThat(isClosed(third)).isTrue();
			}
			assertThat(post(first, "t.2")).isEqualTo(RESULT_BYTES);
		}
	}

	@Test
	void makesOnlyOpenConnectionsUnresponsive() throws IOException {
		try (Socket openSocket = connect()) {
			post(openSocket, "t.0");
			this.fleet.applyFaults(faultRequest("silent", true));
			openSocket.setSoTimeout(DELAY_MILLIS);
			assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> post(openSocket, "t.1"));
			try (Socket laterSocket = connect()) {
				assertThat(post(laterSocket, "t.2")).isEqualTo(RESULT_BYTES);
			}
		}
	}

	@Test
	void confirmsRequestsOnlyOnResponsiveConnections() throws IOException {
		try (Socket socket = connect()) {
			sendHead(socket, "t.0", "Expect: 100-continue\r\n");
			assertThat(readLine(socket)).isEqualTo("HTTP/1.1 100 Continue");
		}
		try (Socket socket = connect()) {
			post(socket, "t.1");
			this.fleet.applyFaults(faultRequest("silent", true));
			sendHead(socket, "t.2", "Expect: 100-continue\r\n");
			socket.setSoTimeout(DELAY_MILLIS);
			assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> socket.getInputStream().read());
		}
	}

	@ParameterizedTest
	@CsvSource({ "none, 101, 101", "truncate_replies, 117, 101", "overlong_replies, 101, 117" })
	void sendsFewerOrMoreBytesThanDeclared(String faultName, int declaredBytes, int sentBytes) throws IOException {
		if (!faultName.equals("none")) {
			this.fleet.applyFaults(faultRequest(faultName, true));
		}
		try (Socket socket = connect()) {
			send(socket, "t.0", "Connection: close\r\n");
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(response.toLowerCase(Locale.ROOT)).contains("content-length: " + declaredBytes + "\r\n");
			assertThat(response.length() - response.indexOf("\r\n\r\n") - 4).isEqualTo(sentBytes);
		}
	}

	@Test
	void sendsResponsesTwice() throws IOException {
		this.fleet.applyFaults(faultRequest("double_replies", true));
		try (Socket socket = connect()) {
			send(socket, "t.0", "Connection: close\r\n");
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(response.split("HTTP/1.1 200 OK")).hasSize(3);
		}
	}

	@Test
	void sendsResponsesLate() throws IOException {
		this.fleet.applyFaults(faultRequest("late_reply_ms", DELAY_MILLIS));
		try (Socket socket = connect()) {
			long startNanos = System.nanoTime();
			post(socket, "t.0");
			assertThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(DELAY_MILLIS * 1_000_000L);
		}
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(this.workerAddress.ip(), this.workerAddress.port());
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		return socket;
	}

	private static WorkerFaultRequest faultRequest(String faultName, Object value) {
		byte[] json = JsonNodeFactory.instance.objectNode()
			.put("worker", "all")
			.putPOJO(faultName, value)
			.toString()
			.getBytes(StandardCharsets.UTF_8);
		return Json.read(json, WorkerFaultRequest.class);
	}

	/**
	 * Posts a task and reads the response up to its declared length.
	 * @return the declared length of the body of the response, in bytes
	 */
	private static int post(Socket socket, String taskId) throws IOException {
		send(socket, taskId, "");
		int length = 0;
		String line = readLine(socket);
		while (!line.isEmpty()) {
			if (line.toLowerCase(Locale.ROOT).startsWith("content-length: ")) {
				length = Integer.parseInt(line.substring(line.indexOf(' ') + 1));
			}
			line = readLine(socket);
		}
		socket.getInputStream().readNBytes(length);
		return length;
	}

	private static void send(Socket socket, String taskId, String extraHeader) throws IOException {
		sendHead(socket, taskId, extraHeader);
		socket.getOutputStream().write("{\"run_ms\":0}".getBytes(StandardCharsets.US_ASCII));
	}

	private static void sendHead(Socket socket, String taskId, String extraHeader) throws IOException {
		String head = "POST /tasks/" + taskId + " HTTP/1.1\r\nHost: w\r\nTask-Service: meals\r\nTask-Kind: k\r\n"
				+ "Task-Lease-Millis: 9000\r\nContent-Length: 12\r\n" + extraHeader + "\r\n";
		socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
	}

	private static String readLine(Socket socket) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = socket.getInputStream().read(); next != '\n'; next = socket.getInputStream().read()) {
			if (next < 0) {
				throw new IOException("The worker closed the connection before the end of a line");
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return line.toString();
	}

	private static boolean isClosed(Socket socket) throws IOException {
		try {
			return socket.getInputStream().read() == -1;
		}
		catch (SocketException ex) {
			return true;
		}
	}

}
