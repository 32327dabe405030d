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

	private static final String LONG_RUN_PAYLOAD = "{\"run_ms\":60000}";

	private static final String SHORT_RUN_PAYLOAD = "{\"run_ms\":0}";

	private final WorkerFleet fleet = new WorkerFleet(
			new WorkerOptions("127.0.0.1", 2, "d", List.of("r1"), "meals", 2, 8, null), TimeSource.system());

	private final WorkerAdmin workerAdmin = new WorkerAdmin(this.fleet);

	private TestHttpClient worker;

	private TestHttpClient admin;

	@BeforeEach
	void open() {
		this.worker = new TestHttpClient(this.fleet.open().get(0));
		this.admin = new TestHttpClient(this.workerAdmin.open("127.0.0.1", 0));
	}

	@AfterEach
	void close() {
		this.workerAdmin.close();
		this.fleet.close();
	}

	private CompletableFuture<HttpResponse<String>> post(String taskId, String payload, long leaseMillis) {
		return this.worker.sendAsync("POST", "/tasks/" + taskId, payload, "Task-Service", "meals", "Task-Kind", "k",
				"Task-Lease-Millis", Long.toString(leaseMillis));
	}

	private CompletableFuture<HttpResponse<String>> startLongTask(String taskId) {
		CompletableFuture<HttpResponse<String>> response = post(taskId, LONG_RUN_PAYLOAD, 90_000);
		await().untilAsserted(() -> assertThat(lookUpState(taskId)).isEqualTo("running"));
		return response;
	}

	private String lookUpState(String taskId) throws Exception {
		return header(this.worker.send("GET", "/tasks/" + taskId, ""), "Task-State");
	}

	private void setFaults(String json) throws Exception {
		HttpResponse<String> response = this.admin.send("POST", "/admin/faults", json);
		assertThat(response.statusCode()).as(response.body()).isEqualTo(204);
	}

	private static String header(HttpResponse<String> response, String name) {
		return response.headers().firstValue(name).orElse("");
	}

	@Nested
	class Starts {

		@Test
		void reportsItsBusySlots() throws Exception {
			assertThat(header(post("t.0", SHORT_RUN_PAYLOAD, 9000).join(), "Task-Busy-Slots")).isEqualTo("0");
			startLongTask("t.1");
			assertThat(header(post("t.2", SHORT_RUN_PAYLOAD, 9000).join(), "Task-Busy-Slots")).isEqualTo("1");
			startLongTask("t.3");
			assertThat(header(post("t.4", SHORT_RUN_PAYLOAD, 9000).join(), "Task-Busy-Slots")).isEqualTo("2");
		}

		@Test
		void respondsWithTheResult() {
			HttpResponse<String> response = post("t.0", SHORT_RUN_PAYLOAD, 9000).join();
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(header(response, "Task-Id")).isEqualTo("t.0");
			assertThat(header(response, "Task-Run-Millis")).isNotEmpty();
			assertThat(response.body()).isEqualTo("{\"task\":\"t.0\",\"kind\":\"k\",\"digest\":"
					+ "\"8e8cbcc72069035713211a7092ad2456f4c7c1e10481112e6787c9766ccf380d\"}");
		}

		@ParameterizedTest
		@CsvSource({ "running, 409, true, duplicate", "finished, 409, true, duplicate", "other, 503, false, full" })
		void refusesDuplicatesAndTasksBeyondItsSlots(String taskId, int status, String started, String reason)
				throws Exception {
			post("finished", SHORT_RUN_PAYLOAD, 90_000).join();
			startLongTask("running");
			startLongTask("second");
			HttpResponse<String> response = post(taskId, SHORT_RUN_PAYLOAD, 9000).join();
			assertThat(response.statusCode()).isEqualTo(status);
			assertThat(header(response, "Task-Started")).isEqualTo(started);
			assertThat(header(response, "Task-Reason")).isEqualTo(reason);
		}

		@ParameterizedTest
		@CsvSource({ "meals, 0, 422, ''", "meals, x, 422, ''", "meals, 9000, 200, ''",
				"rosters, 9000, 422, never-fits" })
		void validatesTheHeaders(String service, String leaseMillis, int status, String reason) throws Exception {
			HttpResponse<String> response = WorkerFleetTests.this.worker.send("POST", "/tasks/t.0", SHORT_RUN_PAYLOAD,
					"Task-Service", service, "Task-Kind", "k", "Task-Lease-Millis", leaseMillis);
			assertThat(response.statusCode()).isEqualTo(status);
			assertThat(header(response, "Task-Reason")).isEqualTo(reason);
		}

		@Test
		void failsAndForgetsATaskWhoseLeaseExpires() {
			HttpResponse<String> response = post("t.0", LONG_RUN_PAYLOAD, 20).join();
			assertThat(response.statusCode()).isEqualTo(500);
			assertThat(header(response, "Task-Started")).isEqualTo("true");
			await().untilAsserted(() -> assertThat(lookUpState("t.0")).isEqualTo("unknown"));
		}

		@Test
		void countsStartsAndDuplicatesByTask() throws Exception {
			post("t.0", SHORT_RUN_PAYLOAD, 9000).join();
			post("t.0", SHORT_RUN_PAYLOAD, 9000).join();
			post("t.0", SHORT_RUN_PAYLOAD, 9000).join();
			post("u.1", SHORT_RUN_PAYLOAD, 9000).join();
			assertStarts("", "{\"t.0\":1,\"u.1\":1}", "{\"t.0\":2}");
			assertStarts("?ticket=u", "{\"u.1\":1}", "{}");
			assertStarts("?min=2", "{}", "{\"t.0\":2}");
			WorkerFleetTests.this.admin.send("DELETE", "/admin/starts", "");
			assertStarts("", "{}", "{}");
		}

		private void assertStarts(String query, String starts, String duplicates) throws Exception {
			JsonNode response = WorkerFleetTests.this.admin.getJson("/admin/starts" + query);
			assertThat(response.path("starts")).isEqualTo(MAPPER.readTree(starts));
			assertThat(response.path("duplicates")).isEqualTo(MAPPER.readTree(duplicates));
		}

	}

	@Nested
	class LookupsAndCancels {

		@ParameterizedTest
		@CsvSource({ "finished, finished, 200", "running, running, 202", "cancelled, cancelled, 200",
				"other, unknown, 404" })
		void looksUpTheState(String taskId, String state, int status) throws Exception {
			post("finished", SHORT_RUN_PAYLOAD, 90_000).join();
			startLongTask("running");
			CompletableFuture<HttpResponse<String>> responseToCancelled = startLongTask("cancelled");
			WorkerFleetTests.this.worker.send("DELETE", "/tasks", "[\"cancelled\",\"other\"]");
			assertThat(responseToCancelled.join().statusCode()).isEqualTo(500);
			HttpResponse<String> response = WorkerFleetTests.this.worker.send("GET", "/tasks/" + taskId, "");
			assertThat(response.statusCode()).isEqualTo(status);
			assertThat(header(response, "Task-State")).isEqualTo(state);
			assertThat(response.body().isEmpty()).isEqualTo(!state.equals("finished"));
		}

		@ParameterizedTest
		@CsvSource({ "running, 204", "other, 404" })
		void cancelsATask(String taskId, int status) throws Exception {
			startLongTask("running");
			assertThat(WorkerFleetTests.this.worker.send("DELETE", "/tasks/" + taskId, "").statusCode())
				.isEqualTo(status);
			JsonNode total = WorkerFleetTests.this.admin.getJson("/admin/counters").path("total");
			assertThat(total.path("cancels").asInt()).isEqualTo(1);
			assertThat(total.path("cancelled_tasks").asInt()).isEqualTo((status == 204) ? 1 : 0);
		}

	}

	@Nested
	class Faults {

		@ParameterizedTest
		@CsvSource({ "leaving, 503, false, leaving", "refuse_all_full, 503, false, full",
				"fail_all, 500, true, failed" })
		void respondsAsTheFaultDemands(String faultName, int status, String started, String reason) throws Exception {
			setFaults("{\"worker\":0,\"" + faultName + "\":true}");
			HttpResponse<String> response = post("t.0", SHORT_RUN_PAYLOAD, 9000).join();
			assertThat(response.statusCode()).isEqualTo(status);
			assertThat(header(response, "Task-Started")).isEqualTo(started);
			assertThat(header(response, "Task-Reason")).isEqualTo(reason);
			setFaults("{\"worker\":\"all\",\"" + faultName + "\":false}");
			assertThat(post("t.1", SHORT_RUN_PAYLOAD, 9000).join().statusCode()).isEqualTo(200);
		}

		@ParameterizedTest
		@CsvSource({ "lose_replies, 1", "truncate_replies, 1", "lose_replies, true", "truncate_replies, true" })
		void runsATaskWhoseResultIsLost(String faultName, String count) throws Exception {
			setFaults("{\"worker\":\"all\",\"" + faultName + "\":" + count + "}");
			assertThat(post("t.0", SHORT_RUN_PAYLOAD, 9000)).failsWithin(Duration.ofSeconds(9));
			assertThat(lookUpState("t.0")).isEqualTo("finished");
		}

		@Test
		void respondsWithTheIdOfAnotherTask() throws Exception {
			setFaults("{\"worker\":0,\"wrong_task_id\":1}");
			assertThat(header(post("t.0", SHORT_RUN_PAYLOAD, 9000).join(), "Task-Id")).isEqualTo("not-t.0");
			assertThat(header(post("t.1", SHORT_RUN_PAYLOAD, 9000).join(), "Task-Id")).isEqualTo("t.1");
		}

		@Test
		void slowsTasksDown() throws Exception {
			setFaults("{\"worker\":0,\"slow_factor\":1000}");
			post("t.0", "{\"run_ms\":100}", 90_000);
			await().untilAsserted(() -> assertThat(lookUpState("t.0")).isEqualTo("running"));
		}

		@Test
		void failsTheSameTasksForTheSameSeed() throws Exception {
			assertThat(statusesOfTasksThatMayFail(7)).isEqualTo(statusesOfTasksThatMayFail(7))
				.contains(200)
				.contains(500);
		}

		private List<Integer> statusesOfTasksThatMayFail(int seed) throws Exception {
			setFaults("{\"worker\":0,\"fail_fraction\":0.5,\"seed\":" + seed + "}");
			long ticketSuffix = System.nanoTime();
			return IntStream.range(0, 20)
				.mapToObj((index) -> post("run" + ticketSuffix + "." + index, SHORT_RUN_PAYLOAD, 9000).join()
					.statusCode())
				.toList();
		}

		@Test
		void stopsAndStartsOnTheSameAddress() throws Exception {
			setFaults("{\"worker\":0,\"stop\":true}");
			assertThatIOException().isThrownBy(() -> lookUpState("t.0"));
			setFaults("{\"worker\":0,\"start\":true}");
			assertThat(lookUpState("t.0")).isEqualTo("unknown");
		}

		@ParameterizedTest
		@CsvSource(delimiter = ';', value = { "{};422", "{\"worker\":2};422", "{\"worker\":\"some\"};422", "{;400",
				"{\"worker\":0,\"no_such_fault\":true};400" })
		void rejectsInvalidFaultRequests(String json, int status) throws Exception {
			assertThat(WorkerFleetTests.this.admin.send("POST", "/admin/faults", json).statusCode()).isEqualTo(status);
		}

	}

}
