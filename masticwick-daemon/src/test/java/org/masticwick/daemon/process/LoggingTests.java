package org.masticwick.daemon.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.ContextInitializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.EndpointState;
import org.masticwick.core.request.SchedulerSnapshot;
import org.masticwick.daemon.request.RequestLog;
import org.masticwick.daemon.version.FollowerStatus;
import org.masticwick.log.LogFormat;
import org.masticwick.log.LogSettings;
import org.masticwick.log.Logging;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Logging} and {@link StateWatch}.
 */
class LoggingTests {

	private static final Logger logger = LoggerFactory.getLogger("org.masticwick.test");

	private final PrintStream before = System.err;

	private final ByteArrayOutputStream lines = new ByteArrayOutputStream();

	@BeforeEach
	void capture() {
		System.setErr(new PrintStream(this.lines, true, StandardCharsets.UTF_8));
	}

	@AfterEach
	void restore() throws Exception {
		System.setErr(this.before);
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		new ContextInitializer(context).autoConfig();
	}

	private List<String> lines() {
		return this.lines.toString(StandardCharsets.UTF_8).lines().toList();
	}

	private static void log() {
		logger.atDebug()
			.addKeyValue("ticket", RequestLog.withoutIntegrityCheck("d1~127.0.0.1_7~a~1~2~0123456789abcdef"))
			.addKeyValue("task", 3)
			.addKeyValue("endpoint", HostAddress.parse("127.0.0.1:8200"))
			.addKeyValue("message", "a field that has the name of another one")
			.log("Task starts");
	}

	@Test
	void jsonHasOneLineWithFields() throws IOException {
		Logging.configure(new LogSettings(LogFormat.JSON, "debug"));
		log();
		logger.error("Broken\ninto lines", new IllegalStateException("why"));
		JsonNode first = new ObjectMapper().readTree(lines().get(0));
		assertThat(first.path("message").asText()).isEqualTo("Task starts");
		assertThat(first.path("level").asText()).isEqualTo("DEBUG");
		assertThat(first.path("ticket").asText()).isEqualTo("d1~127.0.0.1_7~a~1~2");
		assertThat(first.path("task").isIntegralNumber()).isTrue();
		assertThat(first.path("endpoint").asText()).isEqualTo("127.0.0.1:8200");
		assertThat(first.path("message_").isTextual()).isTrue();
		assertThat(new ObjectMapper().readTree(lines().get(1)).path("error").asText()).contains("why");
		assertThat(lines()).hasSize(2);
	}

	@Test
	void textShowsFields() {
		Logging.configure(new LogSettings(LogFormat.TEXT, "debug"));
		log();
		assertThat(lines()).singleElement()
			.asString()
			.contains("Task starts", "task=\"3\"", "endpoint=\"127.0.0.1:8200\"");
	}

	@Test
	void leavesOutWhatIsBelowTheLevel() {
		Logging.configure(new LogSettings(LogFormat.JSON, "info"));
		logger.atDebug().addKeyValue("never", () -> {
			throw new IllegalStateException("worked out although debug is off");
		}).log("Hidden");
		assertThat(lines()).isEmpty();
	}

	@Test
	void stateChangesAreToldOnce() {
		Logging.configure(new LogSettings(LogFormat.TEXT, "info"));
		StateWatch watch = new StateWatch();
		watch.inForce(7, 9);
		FollowerStatus well = new FollowerStatus(true, 1, false, 0, "");
		FollowerStatus failing = new FollowerStatus(true, 1, false, 2, "refused");
		FollowerStatus stillFailing = new FollowerStatus(true, 1, false, 3, "refused");
		FollowerStatus wellAgain = new FollowerStatus(true, 2, false, 3, "refused");
		watch.look(snapshot(false), well);
		watch.look(snapshot(true), failing);
		watch.look(snapshot(true), stillFailing);
		watch.look(snapshot(false), wellAgain);
		watch.look(snapshot(false), wellAgain);
		assertThat(lines()).extracting((line) -> line.replaceFirst(".*StateWatch ", "").strip())
			.containsExactly("Version in force version=\"7\" log_offset=\"9\"",
					"Endpoint ejected endpoint=\"127.0.0.1:8200\"", "Log unreachable failure=\"refused\"",
					"Endpoint readmitted endpoint=\"127.0.0.1:8200\"", "Log read again");
	}

	private static SchedulerSnapshot snapshot(boolean ejected) {
		SchedulerSnapshot.Endpoint endpoint = new SchedulerSnapshot.Endpoint(HostAddress.parse("127.0.0.1:8200"), "d1",
				"s", EndpointState.LIVE, 8, 0, 0, ejected, 0, 0, 1);
		return new SchedulerSnapshot(1, "p", List.of(), List.of(endpoint), List.of(), Map.of());
	}

}
