package org.masticwick.cli.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.version.Acceptance;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the command {@code check}.
 */
class CheckCommandTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private final CommandLine commandLine = new CommandLine(Commands.all(), "1.2.3",
			new PrintStream(this.out, true, StandardCharsets.UTF_8),
			new PrintStream(this.err, true, StandardCharsets.UTF_8));

	private final MockWebServer host = new MockWebServer();

	@TempDir
	private Path directory;

	@BeforeEach
	void startHost() throws IOException {
		this.host.start();
	}

	@AfterEach
	void stopHost() throws IOException {
		this.host.shutdown();
	}

	private ExitCode check(String changes, String options) throws IOException {
		Path file = Files.writeString(this.directory.resolve("note.toml"), "id = \"n\"\nbase = 1\n" + changes);
		return this.commandLine
			.run(("check " + file + " " + options.replace("HOST", "--host 127.0.0.1:" + this.host.getPort())).strip()
				.split(" +"));
	}

	private static String rule(String change, String name, String value) {
		return "[[rules]]\nchange = \"" + change + "\"\nname = \"" + name + "\"\n"
				+ (value.isEmpty() ? "" : "value = \"" + value + "\"\n");
	}

	private void enqueueState() {
		SiteState state = Acceptance.decide(SiteState.EMPTY,
				ReleaseNote.builder("a", 0)
					.add(new ServiceSpec("s", Set.of(), true, 1_000))
					.addRule("team-share/a", "1")
					.build());
		this.host.enqueue(new MockResponse().setBody(
				SiteRecordCodec.encodeState(state.withNextOffset(1)).replace("\"history\":\"\"", "\"history\":\"h\"")));
	}

	private String out() {
		return this.out.toString(StandardCharsets.UTF_8).strip();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					change   | team-share/a   | 2   | OK           | difference: rule:team-share/a changes: value 1 -> 2
					add      | limits/queue   | 2   | FAILED       | warning: rule:limits/queue: has no effect
					withdraw | team-share/b   | ''  | INVALID_FILE | error: rule:team-share/b: can't withdraw
					add      | team-share/b   | no  | INVALID_FILE | error: rules[0].value: "no" is not a value of
					add      | team-shares/b  | 1   | INVALID_FILE | error: rules[0].name: "team-shares/b" is not a rule; allowed:
					""")
	void findingsDetermineExitCode(String change, String name, String value, ExitCode exitCode, String line)
			throws IOException {
		enqueueState();
		assertThat(check(rule(change, name, value), "HOST")).isEqualTo(exitCode);
		assertThat(out()).contains(line);
	}

	@Test
	void findingsAndDifferencesArePrintedAsJson() throws IOException {
		enqueueState();
		assertThat(check(rule("add", "limits/queue", "2"), "HOST --output json")).isEqualTo(ExitCode.FAILED);
		JsonNode json = new ObjectMapper().readTree(out());
		assertThat(json.path("note").asText()).isEqualTo("n");
		assertThat(json.path("version").asLong()).isEqualTo(1);
		assertThat(json.path("findings")).hasSize(1);
		assertThat(json.at("/findings/0/severity").asText()).isEqualTo("warning");
		assertThat(json.at("/findings/0/entity").asText()).isEqualTo("rule:limits/queue");
		assertThat(json.at("/findings/0/message").asText()).isNotEmpty();
		assertThat(json.path("differences").toString()).isEqualTo("[\"rule:limits/queue is added\"]");
	}

	@Test
	void withoutHostChecksNoteAlone() throws IOException {
		assertThat(check(rule("withdraw", "team-share/b", ""), "")).isEqualTo(ExitCode.OK);
		assertThat(out()).isEqualTo("0 errors, 0 warnings");
		assertThat(this.host.getRequestCount()).isZero();
	}

	@Test
	void asksHostForSite() throws IOException, InterruptedException {
		enqueueState();
		check(rule("change", "team-share/a", "2"), "HOST");
		assertThat(this.host.takeRequest().getPath()).isEqualTo("/v1/site");
		assertThat(out()).endsWith("0 errors, 0 warnings, checked against version 1");
	}

	/**
	 * Guards against failing for the first note of a site, whose state has no history.
	 */
	@Test
	void checksAgainstSiteWithoutVersion() throws IOException {
		this.host.enqueue(new MockResponse().setBody(SiteRecordCodec.encodeState(SiteState.EMPTY)));
		assertThat(check(rule("add", "team-share/a", "2"), "HOST")).isEqualTo(ExitCode.INVALID_FILE);
		assertThat(out()).contains("error: note: base 1 is not a version of this site; the latest is 0");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			503 | {"code":"no-version","ran":"no"}
			404 | {"code":"not-found"}
			200 | {"version":1}
			200 | no JSON
			""")
	void isUnknownIfHostHasNoState(int status, String body) throws IOException {
		this.host.enqueue(new MockResponse().setResponseCode(status).setBody(body));
		assertThat(check(rule("change", "team-share/a", "2"), "HOST")).isEqualTo(ExitCode.UNKNOWN);
	}

	@Test
	void reportsMissingFile() {
		assertThat(this.commandLine.run("check", "no-such-note.toml")).isEqualTo(ExitCode.INVALID_FILE);
		assertThat(out()).contains("no-such-note.toml");
	}

}
