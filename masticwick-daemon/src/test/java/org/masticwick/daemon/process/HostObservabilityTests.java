package org.masticwick.daemon.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.Scheduler;
import org.masticwick.core.request.SchedulerSettings;
import org.masticwick.core.request.Schedulers;
import org.masticwick.core.request.TaskSpec;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteVersion;
import org.masticwick.daemon.connection.UnresponsiveEndpoint;
import org.masticwick.daemon.process.metrics.MessageKind;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.daemon.process.metrics.WasteKind;
import org.masticwick.daemon.process.settings.SettingsLoader;
import org.masticwick.daemon.request.Dispatcher;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.request.Job;
import org.masticwick.wire.TrafficCounters;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the state dump and the metrics of an entry host: {@link HostDump},
 * {@link StateDump}, {@link HostMetrics} and {@link Metrics}.
 */
class HostObservabilityTests {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final EntryHostComponents components = new EntryHostComponents(
			SettingsLoader.parse("[host]\ndomain = 'd1'\n[platform]\naddress = '127.0.0.1:1'\n", "test.toml"));

	@AfterEach
	void close() {
		this.components.close();
	}

	private JsonNode dump() throws IOException {
		return JSON.readTree(this.components.apiBackend().stateDump().body());
	}

	private List<String> scrape() {
		return new String(this.components.apiBackend().metrics(), StandardCharsets.UTF_8).lines().toList();
	}

	@Nested
	class Dump {

		@Test
		void containsEveryPart() throws IOException {
			JsonNode dump = dump();
			assertThat(dump.path("host").path("domain").asText()).isEqualTo("d1");
			assertThat(dump.path("process").path("heap_used_bytes").isIntegralNumber()).isTrue();
			assertThat(dump.path("settings").path("requests").path("job_task_count_max").asInt()).isEqualTo(560);
			assertThat(dump.path("settings").path("platform").path("address").asText()).isEqualTo("127.0.0.1:1");
			assertThat(dump.path("settings").path("host").path("api_address").asText()).isEqualTo("127.0.0.1:0");
			assertThat(dump.path("scheduler").path("counters").isObject()).isTrue();
			assertThat(dump.path("jobs").path("active_count").asInt(-1)).isZero();
			assertThat(dump.path("log").path("age_millis").asInt()).isEqualTo(-1);
			assertThat(dump.path("tickets").path("held").size()).isOne();
			assertThat(dump.path("peers").isArray()).isTrue();
			assertThat(dump.path("traffic").isObject()).isTrue();
			assertThat(dump.findValues("error")).isEmpty();
		}

		@Test
		void replacesOversizedAndFailingParts() throws IOException {
			StateDump dump = new StateDump();
			dump.addPart("large", () -> "x".repeat(StateDump.MAX_PART_BYTES));
			dump.addPart("broken", () -> {
				throw new IllegalStateException("broken on purpose");
			});
			dump.addPart("readable", () -> List.of(1));
			HttpAnswer answer = dump.dump();
			JsonNode state = JSON.readTree(answer.body());
			assertThat(state.path("large").path("omitted_bytes").asInt()).isGreaterThan(StateDump.MAX_PART_BYTES);
			assertThat(state.path("broken").path("error").asText()).isEqualTo("IllegalStateException");
			assertThat(state.path("readable").size()).isOne();
			assertThat(answer.body().length).isLessThan(2_000);
		}

	}

	@Nested
	class ManyJobs {

		private static final int JOB_COUNT = 3_000;

		private static final HostAddress ENDPOINT = HostAddress.parse("127.0.0.1:2");

		private final Metrics metrics = new Metrics();

		private final Dispatcher dispatcher = newDispatcher();

		private Dispatcher newDispatcher() {
			ServiceSpec service = new ServiceSpec("s", Set.of("k"), false, 60_000);
			EndpointSpec endpoint = new EndpointSpec(ENDPOINT, "d1", "r1", "s", 8, 64, 32, 1_000, 1);
			SiteVersion version = new SiteVersion(1, Map.of("s", service), Map.of(ENDPOINT, endpoint), Rules.NONE);
			Scheduler scheduler = Schedulers.create(SchedulerSettings.builder().build(), "d1",
					HostObservabilityTests.this.components.self(), new Random(7));
			scheduler.updateVersion(version, System.nanoTime());
			return new Dispatcher(scheduler, new UnresponsiveEndpoint(), () -> version, TimeSource.system(),
					this.metrics, 60_000);
		}

		@AfterEach
		void close() {
			this.dispatcher.close();
		}

		@Test
		void areTruncatedAndWithoutTicketMacs() {
			TicketFactory ticketFactory = new TicketFactory(HostObservabilityTests.this.components.self(),
					TicketKey.random(), 0);
			JobRequest request = new JobRequest("s", "team", true, false, 60_000,
					List.of(new TaskSpec("k", "{}", 0, 0, 0), new TaskSpec("k", "{}", 0, 0, 0)));
			List<Ticket> tickets = ticketFactory.issue(JOB_COUNT, Long.MAX_VALUE);
			tickets.forEach((ticket) -> this.dispatcher
				.submit(new Job(ticket, new byte[0], request, System.nanoTime() + TimeUnit.MINUTES.toNanos(1))));
			StateDump dump = new StateDump();
			dump.addPart("jobs", () -> this.dispatcher.activeJobs(StateDump.MAX_ENTRY_COUNT));
			byte[] body = dump.dump().body();
			assertThat(this.dispatcher.activeJobCount()).isGreaterThan(StateDump.MAX_ENTRY_COUNT);
			assertThat(body.length).isLessThan(StateDump.MAX_PART_BYTES);
			String text = new String(body, StandardCharsets.UTF_8);
			assertThat(text).contains("\"task_counts\":{\"", "\"age_millis\":");
			assertThat(text.split("\"ticket\":", -1)).hasSize(StateDump.MAX_ENTRY_COUNT + 1);
			assertThat(tickets).noneMatch((ticket) -> text.contains(ticket.mac()));
		}

	}

	@Nested
	class Scrape {

		private static final Pattern TYPE_LINE = Pattern.compile("# TYPE (\\S+) (\\S+)");

		private Map<String, String> metricTypes() {
			return scrape().stream()
				.map(TYPE_LINE::matcher)
				.filter(Matcher::matches)
				.collect(Collectors.toMap((match) -> match.group(1), (match) -> match.group(2)));
		}

		@Test
		void metricNamesHavePrefixAndBaseUnit() {
			assertThat(metricTypes()).isNotEmpty().allSatisfy((name, type) -> {
				assertThat(name).matches("(masticwick|process)_.+");
				assertThat(name.endsWith("_total")).as(name).isEqualTo(type.equals("counter"));
				assertThat(name).doesNotContainPattern("_(ms|millis|nanos|kb|mb)(_|$)");
				assertThat(type.equals("histogram")).as(name).isEqualTo(name.matches(".*_(response|wait)_seconds"));
			});
		}

		@Test
		void containsOperationalMetrics() {
			assertThat(metricTypes()).containsKeys("masticwick_answers_total", "masticwick_refusals_total",
					"masticwick_messages_total", "masticwick_messages_wasted_total", "masticwick_version",
					"masticwick_log_offset", "masticwick_log_age_seconds", "masticwick_log_failures_total",
					"masticwick_peers", "masticwick_peers_behind", "masticwick_active_jobs", "masticwick_open_requests",
					"masticwick_remembered_tickets", "masticwick_ejected_endpoints", "masticwick_drained_domains",
					"masticwick_heap_used_bytes", "process_cpu_seconds_total", "process_resident_memory_bytes");
			assertThat(scrape()).contains("masticwick_peers{liveness=\"lost\"} 0.0", "masticwick_version 0.0",
					"masticwick_log_age_seconds -1.0");
		}

		@Test
		void countsPeerTrafficByTypeAndDirection() {
			Metrics metrics = new Metrics();
			metrics.addPeerTraffic(() -> Map.of("heartbeat", new TrafficCounters.Traffic(1, 2, 3, 4)));
			assertThat(new String(metrics.scrape(), StandardCharsets.UTF_8).lines()).contains(
					"masticwick_peer_messages_received_total{type=\"heartbeat\"} 1.0",
					"masticwick_peer_received_bytes_total{type=\"heartbeat\"} 2.0",
					"masticwick_peer_messages_sent_total{type=\"heartbeat\"} 3.0",
					"masticwick_peer_sent_bytes_total{type=\"heartbeat\"} 4.0");
		}

		@Test
		void startsEveryKindAndCodeAtZero() {
			Stream<String> kinds = Arrays.stream(MessageKind.values())
				.map((kind) -> "masticwick_messages_total{kind=\"" + kind.label() + "\"} 0.0");
			Stream<String> wastes = Arrays.stream(WasteKind.values())
				.map((kind) -> "masticwick_messages_wasted_total{kind=\"" + kind.label() + "\"} 0.0");
			Stream<String> codes = Arrays.stream(ErrorCode.values())
				.map((code) -> "masticwick_refusals_total{code=\"" + code.code() + "\"} 0.0");
			assertThat(scrape()).containsAll(Stream.of(kinds, wastes, codes).flatMap(Function.identity()).toList());
		}

		@Test
		void limitsServiceLabels() {
			Metrics metrics = new Metrics();
			IntStream.range(0, 2 * Metrics.MAX_LABELED_SERVICE_COUNT).forEach((i) -> {
				metrics.recordStart("s" + i, 1_000_000);
				metrics.recordCompletedJob("s" + i, true, 1_500_000_000);
			});
			List<String> lines = new String(metrics.scrape(), StandardCharsets.UTF_8).lines().toList();
			assertThat(lines).contains("masticwick_task_starts_total{service=\"other\"} 100.0",
					"masticwick_response_seconds_sum{service=\"s1\",urgent=\"true\"} 1.5",
					"masticwick_response_seconds_bucket{service=\"s1\",urgent=\"true\",le=\"1.0\"} 0",
					"masticwick_response_seconds_bucket{service=\"s1\",urgent=\"true\",le=\"2.0\"} 1",
					"masticwick_queue_wait_seconds_count{service=\"s1\"} 1");
			assertThat(lines.stream().filter((line) -> line.startsWith("masticwick_task_starts_total{")))
				.hasSize(Metrics.MAX_LABELED_SERVICE_COUNT + 1);
		}

	}

}
