package org.masticwick.standin.process;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.TimeSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;
import static org.awaitility.Awaitility.await;

/**
 * Contract tests of {@link PlatformStandin} over HTTP.
 */
class PlatformStandinTests {

	private static final String APPEND_BODY = "{\"records\":[\"x\",\"y\"]}";

	private static final String LEASE_BODY = "{\"role\":\"entry\",\"domain\":\"d\",\"state\":\"live\",\"lease_ms\":60000}";

	private final PlatformStandin platform = new PlatformStandin(new PlatformOptions(1, 400, 0, 6),
			TimeSource.system());

	private TestHttpClient http;

	@BeforeEach
	void open() {
		this.http = new TestHttpClient(this.platform.open("127.0.0.1", 0));
	}

	@AfterEach
	void close() {
		this.platform.close();
	}

	private void appendTwice() throws IOException, InterruptedException {
		this.http.send("POST", "/log/site", APPEND_BODY);
		this.http.send("POST", "/log/site", APPEND_BODY);
	}

	private void setFaults(String json) throws IOException, InterruptedException {
		assertThat(this.http.send("POST", "/admin/faults", json).statusCode()).isEqualTo(204);
	}

	@Nested
	class Log {

		@Test
		void returnsTheOffsetsOfEachAppend() throws Exception {
			appendTwice();
			HttpResponse<String> response = PlatformStandinTests.this.http.send("POST", "/log/site", APPEND_BODY);
			assertThat(response.statusCode()).isEqualTo(201);
			assertThat(response.body()).isEqualTo("{\"first_offset\":4,\"end_offset\":6}");
		}

		@ParameterizedTest
		@CsvSource({ "0, 200, 4", "2, 200, 2", "4, 200, 0", "9, 200, 0", "3&limit=1, 200, 1", "x, 422, 0" })
		void readsFromAnOffset(String fromOffset, int status, int recordCount) throws Exception {
			appendTwice();
			HttpResponse<String> response = PlatformStandinTests.this.http.send("GET", "/log/site?from=" + fromOffset,
					"");
			assertThat(response.statusCode()).isEqualTo(status);
			assertThat(response.body().split("\"value\"")).hasSize(recordCount + 1);
		}

		@ParameterizedTest
		@CsvSource({ "0, 410", "1, 410", "2, 200", "4, 200" })
		void reportsThatRecordsHaveExpired(int fromOffset, int status) throws Exception {
			appendTwice();
			setFaults("{\"expire_before\":2}");
			HttpResponse<String> response = PlatformStandinTests.this.http.send("GET", "/log/site?from=" + fromOffset,
					"");
			assertThat(response.statusCode()).isEqualTo(status);
			assertThat(response.body()).contains("\"begin_offset\":2").contains("\"end_offset\":4");
		}

		@Test
		void retainsTheConfiguredNumberOfRecords() throws Exception {
			for (int batch = 0; batch < 4; batch++) {
				PlatformStandinTests.this.http.send("POST", "/log/site", APPEND_BODY);
			}
			JsonNode stream = PlatformStandinTests.this.http.getJson("/admin/state").path("streams").path("site");
			assertThat(stream.path("begin_offset").asInt()).isEqualTo(2);
			assertThat(stream.path("record_count").asInt()).isEqualTo(6);
		}

		@Test
		void respondsToAWaitingReadAtTheNextAppend() throws Exception {
			CompletableFuture<HttpResponse<String>> pendingRead = PlatformStandinTests.this.http.sendAsync("GET",
					"/log/site?from=0&wait_ms=9000", "");
			PlatformStandinTests.this.http.send("POST", "/log/site", APPEND_BODY);
			assertThat(pendingRead.join().body()).contains("\"value\":\"x\"");
		}

		@Test
		void respondsToAWaitingReadAfterItsTimeLimit() throws Exception {
			HttpResponse<String> emptyPage = PlatformStandinTests.this.http.send("GET", "/log/site?from=0&wait_ms=1",
					"");
			assertThat(emptyPage.statusCode()).isEqualTo(200);
			assertThat(emptyPage.body()).contains("\"records\":[]");
		}

		@ParameterizedTest
		@CsvSource(delimiter = ';',
				value = { "POST;/log/site;{;400", "POST;/log/site;{};422", "POST;/log/site;{\"records\":[]};422",
						"PUT;/log/site;x;405", "GET;/other;'';404", "PUT;/hosts/nowhere;{};422",
						"PUT;/hosts/127.0.0.1:1;{};422" })
		void rejectsInvalidRequests(String method, String path, String body, int status) throws Exception {
			assertThat(PlatformStandinTests.this.http.send(method, path, body).statusCode()).isEqualTo(status);
		}

	}

	@Nested
	class Hosts {

		@Test
		void listsAndRemovesHosts() throws Exception {
			TestHttpClient http = PlatformStandinTests.this.http;
			http.send("PUT", "/hosts/127.0.0.1:7", LEASE_BODY);
			assertThat(http.send("GET", "/hosts", "").body()).isEqualTo("{\"hosts\":[{\"address\":\"127.0.0.1:7\","
					+ "\"role\":\"entry\",\"domain\":\"d\",\"state\":\"live\"}]}");
			String entityTag = http.send("GET", "/hosts", "").headers().firstValue("ETag").orElseThrow();
			HttpResponse<String> unchanged = http.send("GET", "/hosts", "", "If-None-Match", entityTag);
			assertThat(unchanged.statusCode()).isEqualTo(304);
			assertThat(unchanged.body()).isEmpty();
			http.send("DELETE", "/hosts/127.0.0.1:7", "");
			assertThat(http.send("GET", "/hosts", "", "If-None-Match", entityTag).body()).isEqualTo("{\"hosts\":[]}");
		}

	}

	@Nested
	class Faults {

		@ParameterizedTest
		@CsvSource({ "POST, /log/site", "GET, /log/site", "GET, /hosts", "PUT, /hosts/127.0.0.1:1" })
		void respondsAsUnavailableWhileDown(String method, String path) throws Exception {
			setFaults("{\"down\":true}");
			assertThat(PlatformStandinTests.this.http.send(method, path, APPEND_BODY).statusCode()).isEqualTo(503);
			setFaults("{\"down\":false}");
			assertThat(PlatformStandinTests.this.http.send("POST", "/log/site", APPEND_BODY).body())
				.contains("\"first_offset\":0");
		}

		@Test
		void holdsRequestsBackWhileABlackHole() throws Exception {
			setFaults("{\"blackhole\":true}");
			CompletableFuture<HttpResponse<String>> pendingRead = PlatformStandinTests.this.http.sendAsync("GET",
					"/hosts", "");
			assertThat(PlatformStandinTests.this.http.getJson("/admin/state").path("blackhole").asBoolean()).isTrue();
			assertThat(pendingRead).isNotDone();
			setFaults("{\"blackhole\":false}");
			assertThat(pendingRead.join().statusCode()).isEqualTo(200);
		}

		@Test
		void losesResponsesOfCommittedAppends() throws Exception {
			setFaults("{\"lose_replies\":1}");
			assertThatIOException()
				.isThrownBy(() -> PlatformStandinTests.this.http.send("POST", "/log/site", APPEND_BODY));
			await().untilAsserted(() -> assertThat(PlatformStandinTests.this.http.send("GET", "/log/site", "").body())
				.contains("\"end_offset\":2"));
			assertThat(PlatformStandinTests.this.http.send("POST", "/log/site", APPEND_BODY).statusCode())
				.isEqualTo(201);
		}

		@ParameterizedTest
		@CsvSource({ "3, 0, 3", "0, 0, 0", "9, 0, 4" })
		void truncatesAStreamAtAnOffset(int truncateTo, int beginOffset, int endOffset) throws Exception {
			appendTwice();
			setFaults("{\"truncate_to\":" + truncateTo + "}");
			assertThat(PlatformStandinTests.this.http.send("GET", "/log/site?from=4", "").body())
				.contains("\"begin_offset\":" + beginOffset + ",\"end_offset\":" + endOffset);
		}

	}

}
