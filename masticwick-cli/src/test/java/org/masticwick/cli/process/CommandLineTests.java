package org.masticwick.cli.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CommandLine}.
 */
class CommandLineTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private final CommandLine commandLine = new CommandLine(Commands.all(), "1.2.3",
			new PrintStream(this.out, true, StandardCharsets.UTF_8),
			new PrintStream(this.err, true, StandardCharsets.UTF_8));

	private ExitCode run(String arguments) {
		return this.commandLine.run(arguments.isBlank() ? new String[0] : arguments.split(" "));
	}

	private String out() {
		return this.out.toString(StandardCharsets.UTF_8).strip();
	}

	private String err() {
		return this.err.toString(StandardCharsets.UTF_8).strip();
	}

	@Nested
	class Usage {

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				submit --host 127.0.0.1:1       | too few arguments
				submit job.json                 | --host
				nonsense                        | nonsense
				tickets --host a --count many   | many
				drain --platform a              | too few arguments
				drain hobart                    | --platform
				undrain --platform http://[ d   | Not a URL
				dump --output xml --host a      | xml
				dump --host http://[            | Not a URL
				""")
		void isReportedForInvalidArguments(String text, String reason) {
			assertThat(run(text)).isEqualTo(ExitCode.USAGE);
			assertThat(err()).contains(reason);
		}

		@Test
		void isReportedForMissingCommand() {
			assertThat(run("")).isEqualTo(ExitCode.USAGE);
		}

		@Test
		void printsVersion() {
			assertThat(run("--version")).isEqualTo(ExitCode.OK);
			assertThat(out()).isEqualTo("masticwick 1.2.3");
		}

		@ParameterizedTest
		@ValueSource(strings = { "", "tickets ", "submit ", "state ", "cancel ", "publish ", "version ", "note ",
				"dump ", "drain ", "undrain ", "check " })
		void printsHelp(String command) {
			assertThat(run(command + "--help")).isEqualTo(ExitCode.OK);
		}

	}

	@Nested
	class Results {

		private final MockWebServer host = new MockWebServer();

		@BeforeEach
		void start() throws IOException {
			this.host.start();
		}

		@AfterEach
		void stop() throws IOException {
			this.host.shutdown();
		}

		private void enqueueResponse(int status, String body) {
			this.host.enqueue(new MockResponse().setResponseCode(status).setBody(body));
		}

		private ExitCode run(String text) {
			String url = "http://127.0.0.1:" + this.host.getPort();
			return CommandLineTests.this.run(text.replace("HOST", "--host " + url));
		}

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				200 | {"ticket":"t","outcome":"complete","results":["r"]}       | OK      | complete
				202 | {"ticket":"t","outcome":"running"}                        | RUNNING | running
				502 | {"code":"job-failed","ran":"yes"}                         | FAILED  | failed
				404 | {"code":"ticket-unused","ran":"no"}                       | REFUSED | refused
				504 | {"code":"outcome-unknown","ran":"unknown"}                | UNKNOWN | unknown
				""")
		void ofJobStateDetermineExitCode(int status, String body, ExitCode exitCode, String outcome) {
			enqueueResponse(status, body);
			assertThat(run("state --output json HOST t")).isEqualTo(exitCode);
			assertThat(out()).contains("\"outcome\":\"" + outcome + "\"");
		}

		@Test
		void ofSubmissionArePrintedAsText() {
			enqueueResponse(201, "{\"tickets\":[\"t\"],\"expires_at_ms\":9000000000000}");
			enqueueResponse(200, "{\"ticket\":\"t\",\"outcome\":\"complete\",\"results\":[\"a\",\"b\"]}");
			assertThat(run("submit HOST ../examples/guild/jobs/one-width-check.toml")).isEqualTo(ExitCode.OK);
			assertThat(out()).contains("outcome  complete").contains("0  a").contains("1  b");
		}

		@ParameterizedTest
		@CsvSource({ "accepted, OK", "rejected, NOTE_REJECTED", "unknown, UNKNOWN" })
		void ofNoteDetermineExitCode(String verdict, ExitCode exitCode) {
			enqueueResponse(200, "{\"note\":\"n1\",\"verdict\":\"" + verdict + "\",\"version\":4,\"reason\":\"\"}");
			assertThat(run("note HOST n1")).isEqualTo(exitCode);
			assertThat(out()).startsWith("note n1 " + verdict);
		}

		@Test
		void ofVersionShowDomainHostAndAge() {
			enqueueResponse(200, """
					{"version":3,"log_offset":9,"domains":{"hobart":[
					{"host":"127.0.0.1:7","version":3,"log_offset":9,"age_ms":12,"state":"ready"}]}}""");
			assertThat(run("version HOST")).isEqualTo(ExitCode.OK);
			assertThat(out()).containsPattern("hobart +127.0.0.1:7 +ready +3 +9 +12");
		}

		@Test
		void ofUnreachableHost() throws IOException {
			int port = this.host.getPort();
			this.host.shutdown();
			assertThat(CommandLineTests.this.run("dump --host 127.0.0.1:" + port)).isEqualTo(ExitCode.UNKNOWN);
			assertThat(err()).contains("peer-unavailable");
		}

		@Test
		void ofUnreachableHostsNameEachHost() throws IOException {
			int port = this.host.getPort();
			this.host.shutdown();
			String hosts = "127.0.0.1:" + port + ",localhost:" + port;
			assertThat(CommandLineTests.this.run("version --output json --host " + hosts)).isEqualTo(ExitCode.UNKNOWN);
			JsonNode error = new ObjectMapper().readTree(err());
			assertThat(error.path("code").asText()).isEqualTo("peer-unavailable");
			assertThat(error.path("message").asText()).contains("127.0.0.1:" + port, "localhost:" + port);
			assertThat(out()).isEmpty();
		}

		@Test
		void ofMissingFile() {
			assertThat(run("submit HOST no-such-file.json")).isEqualTo(ExitCode.INVALID_FILE);
		}

	}

}
