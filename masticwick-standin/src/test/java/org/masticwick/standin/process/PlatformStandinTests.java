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

	private static final String APPEND = "{\"records\":[\"x\",\"y\"]}";

	private static final String LEASE = "{\"role\":\"entry\",\"domain\":\"d\",\"state\":\"live\",\"lease_ms\":60000}";

	private final PlatformStandin platform = new PlatformStandin(new PlatformOptions(1, 400, 0, 6),
			TimeSource.system());

	private TestHttp http;

	@BeforeEach
	void open() {
		this.http = new TestHttp(this.platform.open("127.0.0.1", 0));
	}

	@AfterEach
	void close() {
		this.platform.close();
	}

	private void appendTwice() throws IOException, InterruptedException {
		this.http.send("POST", "/log/site", APPEND);
		this.http.send("POST", "/log/site", APPEND);
	}

	private void fault(String json) throws IOException, InterruptedException {
		assertThat(this.http.send("POST", "/admin/faults", json).statusCode()).isEqualTo(204);
	}

	@Nested
	class Log {

		@Test
		void tellsOffsetsOfEachAppend() throws Exception {
			appendTwice();
			HttpResponse<String> answer = PlatformStandinTests.this.http.send("POST", "/log/site", APPEND);
			assertThat(answer.statusCode()).isEqualTo(201);
			assertThat(answer.body()).isEqualTo("{\"first_offset\":4,\"end_offset\":6}");
		}

		@ParameterizedTest
		@CsvSource({ "0, 200, 4", "2, 200, 2", "4, 200, 0", "9, 200, 0", "3&limit=1, 200, 1", "x, 422, 0" })
		void readsFromAnOffset(String from, int status, int recordCount) throws Exception {
			appendTwice();
			HttpResponse<String> answer = PlatformStandinTests.this.http.send("GET", "/log/site?from=" + from, "");
			assertThat(answer.statusCode()).isEqualTo(status);
			assertThat(answer.body().split("\"value\"")).hasSize(recordCount + 1);
		}

		@ParameterizedTest
		@CsvSource({ "0, 410", "1, 410", "2, 200", "4, 200" })
		void tellsThatRecordsHaveExpired(int from, int status) throws Exception {
			appendTwice();
			fault("{\"expire_before\":2}");
			HttpResponse<String> answer = PlatformStandinTests.this.http.send("GET", "/log/site?from=" + from, "");
			assertThat(answer.statusCode()).isEqualTo(status);
			assertThat(answer.body()).contains("\"begin_offset\":2").contains("\"end_offset\":4");
		}

		@Test
		void keepsAsManyRecordsAsSet() throws Exception {
			for (int batch = 0; batch < 4; batch++) {
				PlatformStandinTests.this.http.send("POST", "/log/site", APPEND);
			}
			JsonNode stream = PlatformStandinTests.this.http.json("/admin/state").path("streams").path("site");
			assertThat(stream.path("begin_offset").asInt()).isEqualTo(2);
			assertThat(stream.path("record_count").asInt()).isEqualTo(6);
		}

		@Test
		void answersAReaderWhoWaitsAtTheNextAppend() throws Exception {
			CompletableFuture<HttpResponse<String>> read = PlatformStandinTests.this.http.sendAsync("GET",
					"/log/site?from=0&wait_ms=9000", "");
			PlatformStandinTests.this.http.send("POST", "/log/site", APPEND);
			assertThat(read.join().body()).contains("\"value\":\"x\"");
		}

		@Test
		void answersAReaderWhoseWaitIsOver() throws Exception {
			HttpResponse<String> read = PlatformStandinTests.this.http.send("GET", "/log/site?from=0&wait_ms=1", "");
			assertThat(read.statusCode()).isEqualTo(200);
			assertThat(read.body()).contains("\"records\":[]");
		}

		@ParameterizedTest
		@CsvSource(delimiter = ';',
				value = { "POST;/log/site;{;400", "POST;/log/site;{};422", "POST;/log/site;{\"records\":[]};422",
						"PUT;/log/site;x;405", "GET;/other;'';404", "PUT;/hosts/nowhere;{};422",
						"PUT;/hosts/127.0.0.1:1;{};422" })
		void refusesWhatItCannotRead(String method, String path, String body, int status) throws Exception {
			assertThat(PlatformStandinTests.this.http.send(method, path, body).statusCode()).isEqualTo(status);
		}

	}

	@Nested
	class Hosts {

		@Test
		void listsAndRemovesHosts() throws Exception {
			TestHttp http = PlatformStandinTests.this.http;
			http.send("PUT", "/hosts/127.0.0.1:7", LEASE);
			assertThat(http.send("GET", "/hosts", "").body()).isEqualTo("{\"hosts\":[{\"address\":\"127.0.0.1:7\","
					+ "\"role\":\"entry\",\"domain\":\"d\",\"state\":\"live\"}]}");
			String tag = http.send("GET", "/hosts", "").headers().firstValue("ETag").orElseThrow();
			HttpResponse<String> unchanged = http.send("GET", "/hosts", "", "If-None-Match", tag);
			assertThat(unchanged.statusCode()).isEqualTo(304);
			assertThat(unchanged.body()).isEmpty();
			http.send("DELETE", "/hosts/127.0.0.1:7", "");
			assertThat(http.send("GET", "/hosts", "", "If-None-Match", tag).body()).isEqualTo("{\"hosts\":[]}");
		}

	}

	@Nested
	class Faults {

		@ParameterizedTest
		@CsvSource({ "POST, /log/site", "GET, /log/site", "GET, /hosts", "PUT, /hosts/127.0.0.1:1" })
		void answersNothingWhileDown(String method, String path) throws Exception {
			fault("{\"down\":true}");
			assertThat(PlatformStandinTests.this.http.send(method, path, APPEND).statusCode()).isEqualTo(503);
			fault("{\"down\":false}");
			assertThat(PlatformStandinTests.this.http.send("POST", "/log/site", APPEND).body())
				.contains("\"first_offset\":0");
		}

		@Test
		void hangsWhileABlackHole() throws Exception {
			fault("{\"blackhole\":true}");
			CompletableFuture<HttpResponse<String>> read = PlatformStandinTests.this.http.sendAsync("GET", "/hosts",
					"");
			assertThat(PlatformStandinTests.this.http.json("/admin/state").path("blackhole").asBoolean()).isTrue();
			assertThat(read).isNotDone();
			fault("{\"blackhole\":false}");
			assertThat(read.join().statusCode()).isEqualTo(200);
		}

		@Test
		void losesRepliesOfAppendsThatTookEffect() throws Exception {
			fault("{\"lose_replies\":1}");
			assertThatIOException().isThrownBy(() -> PlatformStandinTests.this.http.send("POST", "/log/site", APPEND));
			await().untilAsserted(() -> assertThat(PlatformStandinTests.this.http.send("GET", "/log/site", "").body())
				.contains("\"end_offset\":2"));
			assertThat(PlatformStandinTests.this.http.send("POST", "/log/site", APPEND).statusCode()).isEqualTo(201);
		}

		@ParameterizedTest
		@CsvSource({ "3, 0, 3", "0, 0, 0", "9, 0, 4" })
		void comesBackWithAnOlderEnd(int truncateTo, int beginOffset, int endOffset) throws Exception {
			appendTwice();
			fault("{\"truncate_to\":" + truncateTo + "}");
			assertThat(PlatformStandinTests.this.http.send("GET", "/log/site?from=4", "").body())
				.contains("\"begin_offset\":" + beginOffset + ",\"end_offset\":" + endOffset);
		}

	}

}
