package org.masticwick.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.LogRecord;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link HttpPlatformClient} against an HTTP server with prepared responses.
 */
class HttpPlatformClientTests {

	private static final PlatformHost HOST = new PlatformHost(new HostAddress("10.1.0.1", 7000),
			PlatformHost.Role.ENTRY, "hobart", PlatformHost.State.LEAVING);

	private final List<String> requests = Collections.synchronizedList(new ArrayList<>());

	private HttpServer server;

	private HttpPlatformClient client;

	private volatile int responseStatus = 200;

	private volatile String responseBody = "";

	private volatile String responseTag = "";

	private final List<String> requestTags = Collections.synchronizedList(new ArrayList<>());

	private volatile int missingByteCount;

	@BeforeEach
	void startServer() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", this::respond);
		this.server.start();
		HostAddress address = new HostAddress("127.0.0.1", this.server.getAddress().getPort());
		this.client = new HttpPlatformClient(address,
				new HttpPlatformSettings(Duration.ofMillis(500), Duration.ofMillis(500), 1_000));
	}

	@AfterEach
	void stopServer() {
		this.client.close();
		this.server.stop(0);
	}

	private void respond(HttpExchange exchange) throws IOException {
		String request = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		this.requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + request);
		byte[] bytes = this.responseBody.getBytes(StandardCharsets.UTF_8);
		this.requestTags.add("" + exchange.getRequestHeaders().getFirst("If-None-Match"));
		if (!this.responseTag.isEmpty()) {
			exchange.getResponseHeaders().set("ETag", this.responseTag);
		}
		exchange.sendResponseHeaders(this.responseStatus,
				(this.responseStatus != 204 && this.responseStatus != 304) ? bytes.length + this.missingByteCount : -1);
		try (OutputStream out = exchange.getResponseBody()) {
			out.write(bytes);
		}
		catch (IOException ex) {
			exchange.close();
		}
	}

	private PlatformException failure(Runnable call) {
		try {
			call.run();
		}
		catch (PlatformException ex) {
			return ex;
		}
		throw new AssertionError("The call succeeded");
	}

	@Nested
	class Contract {

		@Test
		void appendsRecords() {
			HttpPlatformClientTests.this.responseStatus = 201;
			HttpPlatformClientTests.this.responseBody = "{\"first_offset\":4,\"end_offset\":6,\"later\":true}";
			assertThat(HttpPlatformClientTests.this.client.append("site", List.of("a", "\"b\"")))
				.isEqualTo(new AppendResult(4, 6));
			assertThat(HttpPlatformClientTests.this.requests)
				.containsExactly("POST /log/site {\"records\":[\"a\",\"\\\"b\\\"\"]}");
		}

		@Test
		void readsRecords() {
			HttpPlatformClientTests.this.responseBody = """
					{"begin_offset":2,"end_offset":5,"records":[{"offset":4,"value":"x"}]}""";
			assertThat(HttpPlatformClientTests.this.client.read("site", 4, 10, Duration.ofMillis(20)))
				.isEqualTo(new LogPage(2, 5, List.of(new LogRecord(4, "x"))));
			assertThat(HttpPlatformClientTests.this.requests)
				.containsExactly("GET /log/site?from=4&limit=10&wait_ms=20 ");
		}

		@Test
		void reusesUnchangedHostList() {
			HttpPlatformClientTests test = HttpPlatformClientTests.this;
			test.responseTag = "\"a\"";
			test.responseBody = "{\"hosts\":[{\"address\":\"10.1.0.1:7000\",\"role\":\"entry\",\"domain\":\"hobart\","
					+ "\"state\":\"leaving\"}]}";
			List<PlatformHost> first = test.client.hosts();
			test.responseStatus = 304;
			assertThat(test.client.hosts()).isSameAs(first).containsExactly(HOST);
			test.responseStatus = 200;
			test.responseTag = "\"b\"";
			test.responseBody = "{\"hosts\":[]}";
			assertThat(test.client.hosts()).isEmpty();
			test.client.hosts();
			assertThat(test.requestTags).containsExactly("null", "\"a\"", "\"a\"", "\"b\"");
		}

		@Test
		void reportsExpiredRecords() {
			HttpPlatformClientTests.this.responseStatus = 410;
			HttpPlatformClientTests.this.responseBody = "{\"begin_offset\":7,\"end_offset\":9}";
			assertThatExceptionOfType(RecordsExpiredException.class)
				.isThrownBy(() -> HttpPlatformClientTests.this.client.read("site", 4, 10, Duration.ZERO))
				.satisfies((ex) -> assertThat(ex.beginOffset()).isEqualTo(7))
				.satisfies((ex) -> assertThat(ex.endOffset()).isEqualTo(9));
		}

		@Test
		void listsHostsAndIgnoresUnknownRoles() {
			HttpPlatformClientTests.this.responseBody = """
					{"hosts":[{"address":"10.1.0.1:7000","role":"entry","domain":"hobart","state":"leaving"},
					{"address":"10.1.0.2:7000","role":"later","domain":"hobart","state":"live"}]}""";
			assertThat(HttpPlatformClientTests.this.client.hosts()).containsExactly(HOST);
		}

		@Test
		void registersAndDeregisters() {
			HttpPlatformClientTests.this.responseStatus = 204;
			HttpPlatformClientTests.this.client.register(HOST, Duration.ofSeconds(3));
			HttpPlatformClientTests.this.client.deregister(HOST.address());
			assertThat(HttpPlatformClientTests.this.requests).containsExactly(
					"PUT /hosts/10.1.0.1:7000 {\"role\":\"entry\",\"domain\":\"hobart\",\"state\":\"leaving\",\"lease_ms\":3000}",
					"DELETE /hosts/10.1.0.1:7000 ");
		}

	}

	@Nested
	class Faults {

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				503 | ''                        | 0 | platform-unavailable | false
				500 | ''                        | 0 | platform-unavailable | true
				504 | ''                        | 0 | platform-unavailable | true
				400 | ''                        | 0 | invalid-request      | false
				201 | not json                  | 0 | platform-unavailable | true
				201 | {"first_offset":1}        | 0 | platform-unavailable | true
				201 | {"first_offset":1,"end_of | 9 | platform-unavailable | true
				""")
		void reportsWhetherAppendMayHaveTakenEffect(int status, String body, int missingBytes, String code,
				boolean outcomeUnknown) {
			HttpPlatformClientTests.this.responseStatus = status;
			HttpPlatformClientTests.this.responseBody = body;
			HttpPlatformClientTests.this.missingByteCount = missingBytes;
			PlatformException ex = failure(() -> HttpPlatformClientTests.this.client.append("site", List.of("a")));
			assertThat(ex.errorCode().code()).isEqualTo(code);
			assertThat(ex.outcomeUnknown()).isEqualTo(outcomeUnknown);
		}

		@Test
		void rejectsOversizedResponses() {
			HttpPlatformClientTests.this.responseBody = " ".repeat(1_001);
			PlatformException ex = failure(() -> HttpPlatformClientTests.this.client.hosts());
			assertThat(ex).hasMessageContaining("above 1000 bytes");
		}

		@Test
		void unsentAppendHasKnownOutcome() {
			HttpPlatformClientTests.this.server.stop(0);
			PlatformException ex = failure(() -> HttpPlatformClientTests.this.client.append("site", List.of("a")));
			assertThat(ex.errorCode()).isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
			assertThat(ex.outcomeUnknown()).isFalse();
		}

		@Test
		void timesOutOnUnresponsiveServer() {
			HttpPlatformClientTests.this.server.removeContext("/");
			HttpPlatformClientTests.this.server.createContext("/", (exchange) -> {
				// never responds
			});
			PlatformException ex = failure(() -> HttpPlatformClientTests.this.client.append("site", List.of("a")));
			assertThat(ex.errorCode()).isEqualTo(ErrorCode.PLATFORM_UNAVAILABLE);
			assertThat(ex.outcomeUnknown()).isTrue();
		}

	}

}
