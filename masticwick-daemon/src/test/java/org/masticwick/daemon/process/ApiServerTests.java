package org.masticwick.daemon.process;

import java.io.IOException;
import java.nio.file.FileSystems;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchService;
import java.util.List;
import java.util.stream.Stream;

import io.netty.handler.codec.http.multipart.DiskAttribute;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.request.Ticket;
import org.masticwick.daemon.process.RawConnection.Answer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link ApiServer} over raw TCP connections, since HTTP clients can't send
 * malformed, incomplete or pipelined requests.
 */
class ApiServerTests {

	private static final int MAX_HEADER_BYTES = 2_000;

	private static final int MAX_BODY_BYTES = 300_000;

	private static final long REQUEST_TIMEOUT_MILLIS = 300;

	private static final String TICKET = new Ticket("d1", HostAddress.parse("127.0.0.1:7000"), new Incarnation(1, 2), 3,
			4, "0123456789abcdef")
		.toString();

	private static final String JOB_PATH = "/v1/jobs/" + TICKET;

	private final FakeBackend backend = new FakeBackend();

	private final ApiServer server = new ApiServer(this.backend,
			new ApiLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, 3 * MAX_BODY_BYTES, REQUEST_TIMEOUT_MILLIS, 5_000),
			"127.0.0.1", 0);

	@AfterEach
	void close() {
		this.server.close();
	}

	private Answer exchange(String request) throws IOException {
		return RawConnection.exchange(this.server.address(), request);
	}

	private static void assertProblem(Answer answer, int status, String code, String ran) throws IOException {
		assertThat(answer.status()).as(answer.body()).isEqualTo(status);
		assertThat(answer.headers()).containsEntry("content-type", "application/problem+json");
		assertThat(answer.code()).isEqualTo(code);
		assertThat(answer.ran()).isEqualTo(ran);
		assertThat(answer.json().path("status").asInt()).isEqualTo(status);
	}

	@Nested
	class Refusals {

		static Stream<Arguments> requests() {
			String large = "x".repeat(MAX_BODY_BYTES + 1);
			return Stream.of(row("not HTTP", "\u0001\u0002\u0003 nonsense\r\n\r\n", 400, "malformed-request", "no"),
					row("bad length", "PUT " + JOB_PATH + " HTTP/1.1\r\nHost: h\r\nContent-Length: many\r\n\r\n", 400,
							"malformed-request", "no"),
					row("two lengths",
							"PUT " + JOB_PATH
									+ " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
							400, "malformed-request", "no"),
					row("bad chunk", chunkedPut() + "zz\r\n", 400, "malformed-request", "no"),
					row("declared too large",
							"PUT " + JOB_PATH + " HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n", 413,
							"request-too-large", "no"),
					row("too large with Expect: 100-continue",
							"PUT " + JOB_PATH + " HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
									+ "Content-Length: 99999999\r\n\r\n",
							413, "request-too-large", "no"),
					row("sent too large", RawConnection.putRequest(JOB_PATH, "", large), 413, "request-too-large",
							"no"),
					row("chunks too large", chunkedPut() + Integer.toHexString(large.length()) + "\r\n" + large, 413,
							"request-too-large", "no"),
					row("header too large", "GET /health HTTP/1.1\r\nA: " + "x".repeat(MAX_HEADER_BYTES) + "\r\n\r\n",
							431, "headers-too-large", "no"),
					row("request line too large",
							RawConnection.requestWithoutBody("GET", "/" + "x".repeat(MAX_HEADER_BYTES)), 431,
							"headers-too-large", "no"),
					row("unknown path", RawConnection.requestWithoutBody("GET", "/v2/jobs"), 404, "not-found",
							"not-applicable"),
					row("unknown path with a body", RawConnection.putRequest("/nowhere", "", "{}"), 404, "not-found",
							"not-applicable"),
					row("wrong method", RawConnection.requestWithoutBody("PATCH", "/v1/tickets"), 405,
							"method-not-allowed", "not-applicable"),
					row("unknown method", RawConnection.requestWithoutBody("BREW", "/v1/version"), 405,
							"method-not-allowed", "not-applicable"),
					row("form",
							RawConnection.putRequest(JOB_PATH, "Content-Type: application/x-www-form-urlencoded\r\n",
									"a=b"),
							400, "malformed-request", "no"),
					row("malformed multipart form",
							RawConnection.putRequest(JOB_PATH, "Content-Type: multipart/form-data\r\n", "a=b"), 400,
							"malformed-request", "no"),
					row("text", RawConnection.putRequest(JOB_PATH, "Content-Type: text/plain\r\n", "{}"), 400,
							"malformed-request", "no"),
					row("GET with a body", "GET " + JOB_PATH + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
							400, "malformed-request", "no"),
					row("bad ticket", RawConnection.requestWithoutBody("GET", "/v1/jobs/none"), 400, "invalid-ticket",
							"no"),
					row("bad escape", RawConnection.requestWithoutBody("GET", "/v1/jobs/%zz"), 400, "malformed-request",
							"no"),
					row("non-numeric wait", RawConnection.requestWithoutBody("GET", JOB_PATH + "?wait_ms=soon"), 422,
							"invalid-request", "no"),
					row("negative wait", RawConnection.requestWithoutBody("GET", JOB_PATH + "?wait_ms=-1"), 422,
							"invalid-request", "no"),
					row("wait exceeding long",
							RawConnection.requestWithoutBody("GET", JOB_PATH + "?wait_ms=99999999999999999999"), 422,
							"invalid-request", "no"),
					row("internal error", RawConnection.requestWithoutBody("GET", "/dump"), 500, "internal",
							"unknown"));
		}

		private static Arguments row(String name, String request, int status, String code, String ran) {
			return Arguments.of(name, request, status, code, ran);
		}

		private static String chunkedPut() {
			return "PUT " + JOB_PATH + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
		}

		@ParameterizedTest(name = "{0}")
		@MethodSource("requests")
		void haveCodeAndLeaveOtherConnectionsUsable(String name, String request, int status, String code, String ran)
				throws IOException {
			try (RawConnection other = new RawConnection(ApiServerTests.this.server.address())) {
				other.send(RawConnection.requestWithoutBody("GET", "/health"));
				assertThat(other.readAnswer().status()).isEqualTo(200);
				assertProblem(exchange(request), status, code, ran);
				other.send(RawConnection.requestWithoutBody("GET", "/health"));
				assertThat(other.readAnswer().status()).isEqualTo(200);
			}
			assertThat(ApiServerTests.this.backend.receivedRequests).isEmpty();
			assertThat(ApiServerTests.this.backend.refusalCodes)
				.isEqualTo(code.equals("internal") ? List.of() : List.of(code));
		}

	}

	@Nested
	class IncompleteRequests {

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				half a line    | GET /hea
				half a head    | GET /health HTTP/1.1~Host:
				half a body    | PUT /v1/jobs/x HTTP/1.1~Content-Length: 9~~{
				half a chunk   | PUT /v1/jobs/x HTTP/1.1~Transfer-Encoding: chunked~~9~{
				""")
		void getTimeoutOrMalformedRequest(String name, String template) throws IOException {
			String incompleteRequest = template.replace("~", "\r\n");
			try (RawConnection slow = new RawConnection(ApiServerTests.this.server.address());
					RawConnection truncated = new RawConnection(ApiServerTests.this.server.address());
					RawConnection other = new RawConnection(ApiServerTests.this.server.address())) {
				slow.send(incompleteRequest);
				truncated.send(incompleteRequest);
				truncated.shutdownOutput();
				other.send(RawConnection.requestWithoutBody("GET", "/health"));
				assertThat(other.readAnswer().status()).isEqualTo(200);
				assertProblem(truncated.readAnswer(), 400, "malformed-request", "no");
				assertThat(truncated.closedByServer()).isTrue();
				Answer answer = slow.readAnswer();
				assertProblem(answer, 408, "request-timeout", "no");
				assertThat(answer.headers()).containsEntry("retry-after", "1").containsEntry("connection", "close");
				assertThat(slow.closedByServer()).isTrue();
				other.send(RawConnection.requestWithoutBody("GET", "/health"));
				assertThat(other.readAnswer().status()).isEqualTo(200);
			}
		}

		@Test
		void doNotIncludeRequestsAwaitingTheirAnswer() throws Exception {
			try (RawConnection connection = new RawConnection(ApiServerTests.this.server.address());
					RawConnection slow = new RawConnection(ApiServerTests.this.server.address())) {
				connection.send(RawConnection.putRequest(JOB_PATH, "", "{}"));
				slow.send("GET /hea");
				assertThat(slow.readAnswer().status()).isEqualTo(408);
				ApiServerTests.this.backend.submissionAnswer.complete(FakeBackend.json("{}"));
				assertThat(connection.readAnswer().status()).isEqualTo(200);
			}
		}

	}

	@Nested
	class Connections {

		@Test
		void answerPipelinedRequestsInOrder() throws IOException {
			try (RawConnection connection = new RawConnection(ApiServerTests.this.server.address())) {
				connection.send(
						RawConnection.putRequest(JOB_PATH, "", "{}") + RawConnection.requestWithoutBody("GET", JOB_PATH)
								+ RawConnection.requestWithoutBody("DELETE", JOB_PATH) + "PUT x\r\n\r\n");
				assertThat(exchange(RawConnection.requestWithoutBody("GET", "/health")).status()).isEqualTo(200);
				ApiServerTests.this.backend.submissionAnswer.complete(FakeBackend.json("{\"ticket\":\"SUBMIT\"}"));
				assertThat(connection.readAnswer().json().path("ticket").asText()).isEqualTo("SUBMIT");
				assertThat(connection.readAnswer().json().path("ticket").asText()).isEqualTo("STATE");
				assertThat(connection.readAnswer().json().path("ticket").asText()).isEqualTo("CANCEL");
				assertProblem(connection.readAnswer(), 400, "malformed-request", "no");
				assertThat(connection.closedByServer()).isTrue();
			}
		}

		@Test
		void acceptManyPipelinedRequests() throws IOException {
			int requestCount = 2_000;
			try (RawConnection connection = new RawConnection(ApiServerTests.this.server.address())) {
				connection.send(RawConnection.requestWithoutBody("GET", "/health").repeat(requestCount));
				for (int i = 0; i < requestCount; i++) {
					assertThat(connection.readAnswer().status()).isEqualTo(200);
				}
			}
		}

		@Test
		void answerAfterClientHalfClose() throws IOException {
			try (RawConnection connection = new RawConnection(ApiServerTests.this.server.address())) {
				connection.send(RawConnection.putRequest(JOB_PATH, "", "{}"));
				connection.shutdownOutput();
				ApiServerTests.this.backend.submissionAnswer.complete(FakeBackend.json("{}"));
				assertThat(connection.readAnswer().status()).isEqualTo(200);
				assertThat(connection.closedByServer()).isTrue();
			}
		}

		@Test
		void stayUsableAfterRefusedRequest() throws IOException {
			try (RawConnection connection = new RawConnection(ApiServerTests.this.server.address())) {
				connection.send(RawConnection.putRequest(JOB_PATH, "Content-Type: text/plain\r\n", "{}")
						+ RawConnection.requestWithoutBody("GET", "/nowhere"));
				assertThat(connection.readAnswer().status()).isEqualTo(400);
				assertThat(connection.readAnswer().status()).isEqualTo(404);
				connection.send(RawConnection.requestWithoutBody("HEAD", "/health"));
				assertThat(connection.readAnswer(false).status()).isIn(200, 405);
				connection.send(RawConnection.requestWithoutBody("GET", "/health"));
				assertThat(connection.readAnswer().body()).isEqualTo("alive");
			}
		}

		@Test
		void listAllowedMethodsOfPath() throws IOException {
			assertThat(exchange(RawConnection.requestWithoutBody("OPTIONS", "/v1/tickets")).headers())
				.containsEntry("allow", "POST");
			assertThat(exchange(RawConnection.requestWithoutBody("GET", "/v1/tickets")).headers())
				.containsEntry("allow", "POST");
		}

		@Test
		void areRefusedAfterServerClose() throws IOException {
			HostAddress address = ApiServerTests.this.server.address();
			ApiServerTests.this.server.close();
			assertThatIOException().isThrownBy(() -> new RawConnection(address).close());
		}

	}

	@Nested
	class Bodies {

		@Test
		void areLimitedInTotalOverAllConnections() throws IOException {
			String large = RawConnection.putRequest(JOB_PATH, "", "x".repeat(MAX_BODY_BYTES - 1));
			try (RawConnection first = new RawConnection(ApiServerTests.this.server.address());
					RawConnection second = new RawConnection(ApiServerTests.this.server.address());
					RawConnection third = new RawConnection(ApiServerTests.this.server.address())) {
				List<RawConnection> waiting = List.of(first, second, third);
				for (RawConnection connection : waiting) {
					connection.send(large);
				}
				await().until(() -> ApiServerTests.this.backend.receivedRequests.size() == waiting.size());
				Answer refused = exchange(large);
				assertProblem(refused, 503, "overloaded", "no");
				assertThat(refused.headers()).containsEntry("retry-after", "1");
				assertThat(exchange(RawConnection.requestWithoutBody("GET", JOB_PATH)).status()).isEqualTo(202);
				ApiServerTests.this.backend.submissionAnswer.complete(FakeBackend.json("{}"));
				for (RawConnection connection : waiting) {
					assertThat(connection.readAnswer().status()).isEqualTo(200);
				}
				await().until(() -> exchange(large).status() == 200);
			}
		}

		@Test
		void areReceivedWithoutTemporaryFiles() throws IOException {
			int bodyBytes = MAX_BODY_BYTES - 1;
			String body = "x".repeat(bodyBytes);
			String head = "POST /v1/tickets HTTP/1.1\r\nHost: h\r\n";
			try (WatchService files = FileSystems.getDefault().newWatchService()) {
				Path.of(DiskAttribute.baseDirectory).register(files, StandardWatchEventKinds.ENTRY_CREATE);
				Answer whole = exchange(head + "Content-Length: " + bodyBytes + "\r\n\r\n" + body);
				Answer chunked = exchange(head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bodyBytes)
						+ "\r\n" + body + "\r\n0\r\n\r\n");
				assertThat(whole.json().path("body_bytes").asInt()).isEqualTo(bodyBytes);
				assertThat(chunked.json().path("body_bytes").asInt()).isEqualTo(bodyBytes);
				assertThat(files.poll()).isNull();
			}
		}

	}

}
