package org.masticwick.cli.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.cli.version.FakeLogServer;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the commands {@code drain} and {@code undrain}.
 */
class DrainCommandTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private final CommandLine commandLine = new CommandLine(Commands.all(), "1.2.3",
			new PrintStream(this.out, true, StandardCharsets.UTF_8),
			new PrintStream(this.err, true, StandardCharsets.UTF_8));

	private FakeLogServer platform;

	@BeforeEach
	void startPlatform() throws IOException {
		this.platform = new FakeLogServer();
		this.platform.append(ReleaseNote.builder("site", 0)
			.add(new ServiceSpec("s", Set.of(), true, 1_000))
			.add(endpoint(1, "hobart"))
			.add(endpoint(2, "derwent"))
			.build());
	}

	@AfterEach
	void stopPlatform() throws IOException {
		this.platform.close();
	}

	private static EndpointSpec endpoint(int number, String domain) {
		return new EndpointSpec(new HostAddress("10.1.0." + number, 80), domain, "r", "s", 8, 8, 8, 8, 0);
	}

	private ExitCode run(String arguments) {
		this.out.reset();
		this.err.reset();
		return this.commandLine.run((arguments + " --platform " + this.platform.address()).split(" "));
	}

	private String out() {
		return this.out.toString(StandardCharsets.UTF_8).strip();
	}

	private String err() {
		return this.err.toString(StandardCharsets.UTF_8).strip();
	}

	private JsonNode json(String text) throws JsonProcessingException {
		return new ObjectMapper().readTree(text);
	}

	private Set<String> drainedDomains() {
		return this.platform.state().version().rules().drainedDomains();
	}

	@Nested
	class Changes {

		@Test
		void drainsAndReturnsToService() {
			assertThat(run("drain hobart")).isEqualTo(ExitCode.OK);
			assertThat(out()).isEqualTo("domain hobart is drained in version 2; drained domains: hobart");
			assertThat(drainedDomains()).containsExactly("hobart");
			assertThat(run("undrain hobart")).isEqualTo(ExitCode.OK);
			assertThat(out()).isEqualTo("domain hobart is in service in version 3; drained domains: none");
			assertThat(drainedDomains()).isEmpty();
			assertThat(DrainCommandTests.this.platform.state().version().rules().values()).isEmpty();
		}

		@Test
		void drainsSeveralDomains() {
			run("drain hobart");
			run("drain derwent");
			assertThat(drainedDomains()).containsExactly("derwent", "hobart");
			run("undrain hobart");
			assertThat(drainedDomains()).containsExactly("derwent");
		}

		@Test
		void repeatedCommandPublishesNothing() {
			run("drain hobart");
			int recordCount = DrainCommandTests.this.platform.recordCount();
			assertThat(run("drain hobart")).isEqualTo(ExitCode.OK);
			assertThat(out()).isEqualTo("domain hobart is already drained in version 2; drained domains: hobart");
			assertThat(run("undrain derwent")).isEqualTo(ExitCode.OK);
			assertThat(out()).isEqualTo("domain derwent is already in service in version 2; drained domains: hobart");
			assertThat(DrainCommandTests.this.platform.recordCount()).isEqualTo(recordCount);
		}

		@Test
		void sameChangeCanBeMadeAgainLater() {
			run("drain hobart");
			run("undrain hobart");
			assertThat(run("drain hobart")).isEqualTo(ExitCode.OK);
			assertThat(drainedDomains()).containsExactly("hobart");
		}

		@Test
		void arePrintedAsJson() throws JsonProcessingException {
			run("drain derwent");
			assertThat(run("drain hobart --output json")).isEqualTo(ExitCode.OK);
			JsonNode json = json(out());
			assertThat(json.path("note").asText()).startsWith("drain-2-");
			assertThat(json.path("domain").asText()).isEqualTo("hobart");
			assertThat(json.path("drained").asBoolean()).isTrue();
			assertThat(json.path("changed").asBoolean()).isTrue();
			assertThat(json.path("version").asLong()).isEqualTo(3);
			assertThat(json.path("drained_domains").toString()).isEqualTo("[\"derwent\",\"hobart\"]");
		}

	}

	@Nested
	class Conflicts {

		/**
		 * Guards against losing the domain of another operator, whose note reached the
		 * log first.
		 */
		@Test
		void withDrainOfAnotherDomainKeepBoth() {
			DrainCommandTests.this.platform.appendBeforeNextAppend(
					ReleaseNote.builder("other", 1).addRule(Rules.DRAINED_DOMAINS, "derwent").build());
			assertThat(run("drain hobart")).isEqualTo(ExitCode.OK);
			assertThat(out()).isEqualTo("domain hobart is drained in version 3; drained domains: derwent, hobart");
			assertThat(drainedDomains()).containsExactly("derwent", "hobart");
		}

		@Test
		void withTheSameDrainChangeNothing() {
			DrainCommandTests.this.platform.appendBeforeNextAppend(
					ReleaseNote.builder("other", 1).addRule(Rules.DRAINED_DOMAINS, "hobart").build());
			assertThat(run("drain hobart")).isEqualTo(ExitCode.OK);
			assertThat(out()).contains("already drained in version 2");
			assertThat(drainedDomains()).containsExactly("hobart");
		}

		@Test
		void withNoteOnAnotherEntityDoNotExist() {
			DrainCommandTests.this.platform
				.appendBeforeNextAppend(ReleaseNote.builder("other", 1).addRule("limits/a", "1").build());
			assertThat(run("drain hobart")).isEqualTo(ExitCode.OK);
			assertThat(drainedDomains()).containsExactly("hobart");
		}

		/** Guards against appending notes without end. */
		@Test
		void withEveryNoteAreReported() {
			FakeLogServer log = DrainCommandTests.this.platform;
			log.appendBeforeNextAppend(
					ReleaseNote.builder("c0", 1).addRule(Rules.DRAINED_DOMAINS, "derwent,d0").build());
			for (int i = 1; i < 20; i++) {
				log.appendBeforeNextAppend(
						ReleaseNote.builder("c" + i, 1 + i).changeRule(Rules.DRAINED_DOMAINS, "derwent,d" + i).build());
			}
			assertThat(run("drain hobart")).isEqualTo(ExitCode.NOTE_REJECTED);
			assertThat(out()).contains("rejected: conflict: rule:dispatch/drained-domains");
			assertThat(drainedDomains()).doesNotContain("hobart");
		}

	}

	@Nested
	class Errors {

		@ParameterizedTest
		@ValueSource(strings = { "drain", "undrain" })
		void ofUnknownDomainNameTheDomainsOfTheVersion(String command) throws JsonProcessingException {
			assertThat(run(command + " hobert")).isEqualTo(ExitCode.REFUSED);
			assertThat(err()).contains("invalid-request: No capacity of version 1 is in the failure domain hobert; "
					+ "it has capacities in derwent, hobart");
			assertThat(run(command + " hobert --output json")).isEqualTo(ExitCode.REFUSED);
			assertThat(json(err()).path("message").asText()).contains("failure domain hobert");
			assertThat(out()).isEmpty();
			assertThat(DrainCommandTests.this.platform.recordCount()).isEqualTo(1);
		}

		@Test
		void ofSiteWithoutVersion() throws IOException {
			DrainCommandTests.this.platform.close();
			DrainCommandTests.this.platform = new FakeLogServer();
			assertThat(run("drain hobart")).isEqualTo(ExitCode.REFUSED);
			assertThat(err()).contains("No capacity of version 0", "no capacities");
		}

		@Test
		void ofPlatformThatRecoversAreRetried() {
			DrainCommandTests.this.platform.refuseRequests(3);
			assertThat(run("drain hobart")).isEqualTo(ExitCode.OK);
			assertThat(drainedDomains()).containsExactly("hobart");
		}

		@Test
		void ofUnreachablePlatform() {
			DrainCommandTests.this.platform.refuseRequests(Integer.MAX_VALUE);
			assertThat(run("drain hobart --timeout-ms 300")).isEqualTo(ExitCode.UNKNOWN);
			assertThat(err()).contains("platform-unavailable: The active version could not be read");
		}

		@Test
		void ofAppendsLeaveVerdictUnknown() {
			DrainCommandTests.this.platform.refuseAppends();
			assertThat(run("drain hobart --timeout-ms 300")).isEqualTo(ExitCode.UNKNOWN);
			assertThat(out()).startsWith("note drain-1-").contains(" unknown: ");
		}

	}

}
