package org.masticwick.standin.process;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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
 * Contract tests of {@link WorkerFleet} and {@link WorkerAdmin} over HTTP.
 */
class WorkerFleetTests {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String LONG = "{\"run_ms\":60000}";

	private static final String SHORT = "{\"run_ms\":0}";

	private final WorkerFleet fleet = new WorkerFleet(
			new WorkerOptions("127.0.0.1", 2, "d", List.of("r1"), "meals", 2, 8, null), TimeSource.system());

	private final WorkerAdmin routes = new WorkerAdmin(this.fleet);

	private TestHttp worker;

	private TestHttp admin;

	@BeforeEach
	void open() {
		this.worker = new TestHttp(this.fleet.open().get(0));
		this.admin = new TestHttp(this.routes.open("127.0.0.1", 0));
	}

	@AfterEach
	void close() {
		this.routes.close();
		this.fleet.close();
	}

	private CompletableFuture<HttpResponse<String>> post(String taskId, String payload, long leaseMillis) {
		return this.worker.sendAsync("POST", "/tasks/" + taskId, payload, "Task-Service", "meals", "Task-Kind", "k",
				"Task-Lease-Millis", Long.toString(leaseMillis));
	}

	private CompletableFuture<HttpResponse<String>> startLong(String taskId) {
		CompletableFuture<HttpResponse<String>> answer = post(taskId, LONG, 90_000);
		await().untilAsserted(() -> assertThat(lookUp(taskId)).isEqualTo("running"));
		return answer;
	}

	private String lookUp(String taskId) throws Exception {
		return header(this.worker.send("GET", "/tasks/" + taskId, ""), "Task-State");
	}

	private void fault(String json) throws Exception {
		HttpResponse<String> answer = this.admin.send("POST", "/admin/faults", json);
		assertThat(answer.statusCode()).as(answer.body()).isEqualTo(204);
	}

	private static String header(HttpResponse<String> answer, String name) {
		return answer.headers().firstValue(name).orElse("");
	}

	@Nested
	class Starts {

		@Test
		void tellsItsBusySlots() throws Exception {
			assertThat(header(post("t.0", SHORT, 9000).join(), "Task-Busy-Slots")).isEqualTo("0");
			startLong("t.1");
			assertThat(header(post("t.2", SHORT, 9000).join(), "Task-Busy-Slots")).isEqualTo("1");
			startLong("t.3");
			assertThat(header(post("t.4", SHORT, 9000).join(), "Task-Busy-Slots")).isEqualTo("2");
		}

		@Test
		void answersWithTheResult() {
			HttpResponse<String> answer = post("t.0", SHORT, 9000).join();
			assertThat(answer.statusCode()).isEqualTo(200);
			assertThat(header(answer, "Task-Id")).isEqualTo("t.0");
			assertThat(header(answer, "Task-Run-Millis")).isNotEmpty();
			assertThat(answer.body()).isEqualTo("{\"task\":\"t.0\",\"kind\":\"k\",\"digest\":"
					+ "\"8e8cbcc72069035713211a7092ad2456f4c7c1e10481112e6787c9766ccf380d\"}");
		}

		@ParameterizedTest
		@CsvSource({ "running, 409, true, duplicate", "finished, 409, true, duplicate", "other, 503, false, full" })
		void refusesDuplicatesAndMoreThanItsSlots(String taskId, int status, String started, String reason)
				throws Exception {
			post("finished", SHORT, 90_000).join();
			startLong("running");
			startLong("second");
			HttpResponse<String> answer = post(taskId, SHORT, 9000).join();
			assertThat(answer.statusCode()).isEqualTo(status);
			assertThat(header(answer, "Task-Started")).isEqualTo(started);
			assertThat(header(answer, "Task-Reason")).isEqualTo(reason);
		}

		@ParameterizedTest
		@CsvSource({ "meals, 0, 422, ''", "meals, x, 422, ''", "meals, 9000, 200, ''",
				"rosters, 9000, 422, never-fits" })
		void checksTheHeaders(String service, String lease, int status, String reason) throws Exception {
			HttpResponse<String> answer = WorkerFleetTests.this.worker.send("POST", "/tasks/t.0", SHORT, "Task-Service",
					service, "Task-Kind", "k", "Task-Lease-Millis", lease);
			assertThat(answer.statusCode()).isEqualTo(status);
			assertThat(header(answer, "Task-Reason")).isEqualTo(reason);
		}

		@Test
		void stopsAndForgetsATaskWhoseLeaseLapses() {
			HttpResponse<String> answer = post("t.0", LONG, 20).join();
			assertThat(answer.statusCode()).isEqualTo(500);
			assertThat(header(answer, "Task-Started")).isEqualTo("true");
			await().untilAsserted(() -> assertThat(lookUp("t.0")).isEqualTo("unknown"));
		}

		@Test
		void countsStartsAndDuplicatesByTask() throws Exception {
			post("t.0", SHORT, 9000).join();
			post("t.0", SHORT, 9000).join();
			post("t.0", SHORT, 9000).join();
			post("u.1", SHORT, 9000).join();
			assertStarts("", "{\"t.0\":1,\"u.1\":1}", "{\"t.0\":2}");
			assertStarts("?ticket=u", "{\"u.1\":1}", "{}");
			assertStarts("?min=2", "{}", "{\"t.0\":2}");
			WorkerFleetTests.this.admin.send("DELETE", "/admin/starts", "");
			assertStarts("", "{}", "{}");
		}

		private void assertStarts(String query, String starts, String duplicates) throws Exception {
			JsonNode answer = WorkerFleetTests.this.admin.json("/admin/starts" + query);
			assertThat(answer.path("starts")).isEqualTo(MAPPER.readTree(starts));
			assertThat(answer.path("duplicates")).isEqualTo(MAPPER.readTree(duplicates));
		}

	}

	@Nested
	class LookupsAndCancels {

		@ParameterizedTest
		@CsvSource({ "finished, finished, 200", "running, running, 202", "cancelled, cancelled, 200",
				"other, unknown, 404" })
		void tellsTheState(String taskId, String state, int status) throws Exception {
			post("finished", SHORT, 90_000).join();
			startLong("running");
			CompletableFuture<HttpResponse<String>> cancelled = startLong("cancelled");
			WorkerFleetTests.this.worker.send("DELETE", "/tasks", "[\"cancelled\",\"other\"]");
			assertThat(cancelled.join().statusCode()).isEqualTo(500);
			HttpResponse<String> answer = WorkerFleetTests.this.worker.send("GET", "/tasks/" + taskId, "");
			assertThat(answer.statusCode()).isEqualTo(status);
			assertThat(header(answer, "Task-State")).isEqualTo(state);
			assertThat(answer.body().isEmpty()).isEqualTo(!state.equals("finished"));
		}

		@ParameterizedTest
		@CsvSource({ "running, 204", "other, 404" })
		void cancelsOne(String taskId, int status) throws Exception {
			startLong("running");
			assertThat(WorkerFleetTests.this.worker.send("DELETE", "/tasks/" + taskId, "").statusCode())
				.isEqualTo(status);
			JsonNode total = WorkerFleetTests.this.admin.json("/admin/counters").path("total");
			assertThat(total.path("cancels").asInt()).isEqualTo(1);
			assertThat(total.path("cancelled_tasks").asInt()).isEqualTo((status == 204) ? 1 : 0);
		}

	}

	@Nested
	class Faults {

		@ParameterizedTest
		@CsvSource({ "leaving, 503, false, leaving", "refuse_all_full, 503, false, full",
				"fail_all, 500, true, failed" })
		void answersAsTheFaultSays(String fault, int status, String started, String reason) throws Exception {
			fault("{\"worker\":0,\"" + fault + "\":true}");
			HttpResponse<String> answer = post("t.0", SHORT, 9000).join();
			assertThat(answer.statusCode()).isEqualTo(status);
			assertThat(header(answer, "Task-Started")).isEqualTo(started);
			assertThat(header(answer, "Task-Reason")).isEqualTo(reason);
			fault("{\"worker\":\"all\",\"" + fault + "\":false}");
			assertThat(post("t.1", SHORT, 9000).join().statusCode()).isEqualTo(200);
		}

		@ParameterizedTest
		@CsvSource({ "lose_replies, 1", "truncate_replies, 1", "lose_replies, true", "truncate_replies, true" })
		void runsATaskWhoseReplyIsLost(String fault, String count) throws Exception {
			fault("{\"worker\":\"all\",\"" + fault + "\":" + count + "}");
			assertThat(post("t.0", SHORT, 9000)).failsWithin(Duration.ofSeconds(9));
			assertThat(lookUp("t.0")).isEqualTo("finished");
		}

		@Test
		void answersWithTheIdOfAnotherTask() throws Exception {
			fault("{\"worker\":0,\"wrong_task_id\":1}");
			assertThat(header(post("t.0", SHORT, 9000).join(), "Task-Id")).isEqualTo("not-t.0");
			assertThat(header(post("t.1", SHORT, 9000).join(), "Task-Id")).isEqualTo("t.1");
		}

		@Test
		void slowsTasksDown() throws Exception {
			fault("{\"worker\":0,\"slow_factor\":1000}");
			post("t.0", "{\"run_ms\":100}", 90_000);
			await().untilAsserted(() -> assertThat(lookUp("t.0")).isEqualTo("running"));
		}

		@Test
		void failsTheShareOfTasksThatTheSeedDraws() throws Exception {
			assertThat(drawFailures(7)).isEqualTo(drawFailures(7)).contains(200).contains(500);
		}

		private List<Integer> drawFailures(int seed) throws Exception {
			fault("{\"worker\":0,\"fail_fraction\":0.5,\"seed\":" + seed + "}");
			long run = System.nanoTime();
			return IntStream.range(0, 20)
				.mapToObj((index) -> post("run" + run + "." + index, SHORT, 9000).join().statusCode())
				.toList();
		}

		@Test
		void stopsAndStartsOnTheSameAddress() throws Exception {
			fault("{\"worker\":0,\"stop\":true}");
			assertThatIOException().isThrownBy(() -> lookUp("t.0"));
			fault("{\"worker\":0,\"start\":true}");
			assertThat(lookUp("t.0")).isEqualTo("unknown");
		}

		@ParameterizedTest
		@CsvSource(delimiter = ';', value = { "{};422", "{\"worker\":2};422", "{\"worker\":\"some\"};422", "{;400",
				"{\"worker\":0,\"no_such_fault\":true};400" })
		void refusesWhatItCannotRead(String json, int status) throws Exception {
			assertThat(WorkerFleetTests.this.admin.send("POST", "/admin/faults", json).statusCode()).isEqualTo(status);
		}

	}

}
