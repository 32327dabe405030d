package org.masticwick.daemon.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;

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
 * Tests for {@link Logging} and {@link StateChangeLogger}.
 */
class LoggingTests {

	private static final Logger logger = LoggerFactory.getLogger("org.masticwick.test");

	private final PrintStream originalErr = System.err;

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@BeforeEach
	void captureStandardError() {
		System.setErr(new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

	@AfterEach
	void restoreStandardErrorAndLogging() throws Exception {
		System.setErr(this.originalErr);
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		new ContextInitializer(context).autoConfig();
	}

	private List<String> lines() {
		return this.err.toString(StandardCharsets.UTF_8).lines().toList();
	}

	private static void log() {
		logger.atDebug()
			.addKeyValue("ticket", RequestLog.withoutIntegrityCheck("d1~127.0.0.1_7~a~1~2~0123456789abcdef"))
			.addKeyValue("task", 3)
			.addKeyValue("endpoint", HostAddress.parse("127.0.0.1:8200"))
			.addKeyValue("message", "a field whose name collides with a standard field")
			.log("Task starts");
	}

	/**
	 * Returns the lines that the thread of this test logged. Threads of earlier tests in
	 * the same process may still log.
	 */
	private List<JsonNode> ownJsonLines() {
		return lines().stream()
			.map(LoggingTests::parse)
			.filter((line) -> line.path("thread").asText().equals(Thread.currentThread().getName()))
			.toList();
	}

	private static JsonNode parse(String line) {
		try {
			return new ObjectMapper().readTree(line);
		}
		catch (IOException ex) {
			throw new AssertionError("Not a line of JSON: " + line, ex);
		}
	}

	private static void logOnAnotherThread() throws InterruptedException {
		Thread thread = new Thread(() -> logger.warn("Late line of another test"), "other-test");
		thread.start();
		thread.join();
	}

	@Test
	void jsonWritesOneLinePerEventWithFields() throws InterruptedException {
		Logging.configure(new LogSettings(LogFormat.JSON, "debug"));
		log();
		logOnAnotherThread();
		logger.error("Broken\ninto lines", new IllegalStateException("why"));
		List<JsonNode> ownLines = ownJsonLines();
		JsonNode first = ownLines.get(0);
		assertThat(first.path("message").asText()).isEqualTo("Task starts");
		assertThat(first.path("level").asText()).isEqualTo("DEBUG");
		assertThat(first.path("ticket").asText()).isEqualTo("d1~127.0.0.1_7~a~1~2");
		assertThat(first.path("task").isIntegralNumber()).isTrue();
		assertThat(first.path("endpoint").asText()).isEqualTo("127.0.0.1:8200");
		assertThat(first.path("message_").isTextual()).isTrue();
		assertThat(ownLines.get(1).path("error").asText()).contains("why");
		assertThat(ownLines).hasSize(2);
	}

	@Test
	void textContainsFields() {
		Logging.configure(new LogSettings(LogFormat.TEXT, "debug"));
		log();
		assertThat(lines()).singleElement()
			.asString()
			.contains("Task starts", "task=\"3\"", "endpoint=\"127.0.0.1:8200\"");
	}

	@Test
	void doesNotEvaluateEventsBelowLevel() {
		Logging.configure(new LogSettings(LogFormat.JSON, "info"));
		logger.atDebug().addKeyValue("never", () -> {
			throw new IllegalStateException("evaluated although the debug level is disabled");
		}).log("Hidden");
		assertThat(lines()).isEmpty();
	}

	@Test
	void logsEachStateChangeOnce() {
		Logging.configure(new LogSettings(LogFormat.TEXT, "info"));
		StateChangeLogger stateChangeLogger = new StateChangeLogger();
		stateChangeLogger.logActiveVersion(7, 9);
		FollowerStatus reachable = new FollowerStatus(true, 1, false, 0, "");
		FollowerStatus unreachable = new FollowerStatus(true, 1, false, 2, "refused");
		FollowerStatus stillUnreachable = new FollowerStatus(true, 1, false, 3, "refused");
		FollowerStatus reachableAgain = new FollowerStatus(true, 2, false, 3, "refused");
		stateChangeLogger.logChanges(snapshot(false), reachable);
		stateChangeLogger.logChanges(snapshot(true), unreachable);
		stateChangeLogger.logChanges(snapshot(true), stillUnreachable);
		stateChangeLogger.logChanges(snapshot(false), reachableAgain);
		stateChangeLogger.logChanges(snapshot(false), reachableAgain);
		assertThat(lines()).extracting((line) -> line.replaceFirst(".*StateChangeLogger ", "").strip())
			.containsExactly("Version active; new jobs are scheduled by it version=\"7\" log_offset=\"9\"",
					"Endpoint ejected; it receives no new tasks endpoint=\"127.0.0.1:8200\"",
					"Log unreachable; the active version stays and reads are retried failure=\"refused\"",
					"Endpoint readmitted; it receives tasks again endpoint=\"127.0.0.1:8200\"", "Log reachable again");
	}

	@Test
	void logsEachDrainedDomainOnce() {
		Logging.configure(new LogSettings(LogFormat.TEXT, "info"));
		StateChangeLogger stateChangeLogger = new StateChangeLogger();
		stateChangeLogger.logDrainedDomains(1, Set.of());
		stateChangeLogger.logDrainedDomains(2, Set.of("hobart"));
		stateChangeLogger.logDrainedDomains(3, Set.of("hobart"));
		stateChangeLogger.logDrainedDomains(4, Set.of("derwent"));
		assertThat(lines()).extracting((line) -> line.replaceFirst(".*StateChangeLogger ", "").strip())
			.containsExactly(
					"Failure domain drained; its endpoints receive no new tasks domain=\"hobart\" version=\"2\"",
					"Failure domain drained; its endpoints receive no new tasks domain=\"derwent\" version=\"4\"",
					"Failure domain returned to service; its endpoints receive tasks again domain=\"hobart\" version=\"4\"");
	}

	private static SchedulerSnapshot snapshot(boolean ejected) {
		SchedulerSnapshot.Endpoint endpoint = new SchedulerSnapshot.Endpoint(HostAddress.parse("127.0.0.1:8200"), "d1",
				"s", EndpointState.LIVE, false, 8, 0, 0, ejected, 0, 0, 1);
		return new SchedulerSnapshot(1, "p", List.of(), List.of(), List.of(endpoint), List.of(), Map.of());
	}

}
