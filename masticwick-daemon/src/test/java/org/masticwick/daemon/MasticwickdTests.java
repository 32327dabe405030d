package org.masticwick.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Masticwickd}, which run it as a separate process.
 */
class MasticwickdTests {

	private static final long EXIT_TIMEOUT_SECONDS = 60;

	private static final String VALID_SETTINGS = "[host]\ndomain = 'd1'\n[platform]\naddress = '127.0.0.1:1'\n";

	@TempDir
	Path directory;

	private Process start(List<String> arguments) throws IOException {
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		Stream<String> java = Stream.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m",
				"-cp", classPath, Masticwickd.class.getName());
		return new ProcessBuilder(Stream.concat(java, arguments.stream()).toList())
			.redirectError(this.directory.resolve("err").toFile())
			.start();
	}

	private ProcessResult run(String... arguments) throws Exception {
		Process process = start(List.of(arguments));
		String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		return new ProcessResult(process.exitValue(), out, Files.readString(this.directory.resolve("err")));
	}

	private String writeSettings(String text) throws IOException {
		return Files.writeString(this.directory.resolve("host.toml"), text).toString();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			--help        | 0 | usage: masticwickd
			--version     | 0 | masticwickd
			--nonsense    | 2 | --nonsense
			--config      | 2 | --config
			--config none | 3 | none
			""")
	void reportsUsageAndExitCode(String arguments, int exitCode, String expectedOutput) throws Exception {
		ProcessResult result = run(arguments.split(" "));
		assertThat(result.exitCode()).isEqualTo(exitCode);
		assertThat((exitCode == 0) ? result.standardOutput() : result.standardError()).contains(expectedOutput)
			.doesNotContain("\tat ");
	}

	@Test
	void checksSettingsWithoutStarting() throws Exception {
		ProcessResult result = run("--config", writeSettings(VALID_SETTINGS), "--check-config");
		assertThat(result).isEqualTo(new ProcessResult(0, "The settings are valid.\n", ""));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void listsEverySettingsProblem(boolean checkOnly) throws Exception {
		String file = writeSettings("[host]\ndomain = 'D 1'\nport = 7\n[requests]\nwait_max_ms = '5 s'\n");
		ProcessResult result = checkOnly ? run("--check-config", "--config", file) : run("--config", file);
		assertThat(result.exitCode()).isEqualTo(3);
		assertThat(result.standardError().lines()).hasSize(4)
			.allSatisfy((line) -> assertThat(line).startsWith(file + ": ").contains(", allowed: "));
		assertThat(result.standardError()).contains("host.domain", "host.port", "platform.address",
				"requests.wait_max_ms");
	}

	@ParameterizedTest
	@ValueSource(strings = { "api_address", "peer_address" })
	void reportsAddressAlreadyInUse(String key) throws Exception {
		try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			String address = "127.0.0.1:" + occupied.getLocalPort();
			ProcessResult result = run("--config",
					writeSettings(VALID_SETTINGS.replace("'d1'\n", "'d1'\n" + key + " = '" + address + "'\n")));
			assertThat(result.exitCode()).isEqualTo(5);
			assertThat(result.standardError().lines().filter((line) -> line.startsWith("masticwickd: ")))
				.singleElement()
				.asString()
				.contains("start-failed", "host." + key, address);
			assertThat(result.standardError()).doesNotContain("\tat ");
			assertThat(result.standardOutput()).isEmpty();
		}
	}

	@Test
	void startsNotReadyWithoutPlatform() throws Exception {
		Process process = start(List.of("--config", writeSettings(VALID_SETTINGS)));
		try (BufferedReader out = process.inputReader()) {
			String api = new ObjectMapper().readTree(out.readLine()).path("api").asText();
			assertThat(getStatus(api, "/health")).isEqualTo(200);
			assertThat(getStatus(api, "/ready")).isEqualTo(503);
			process.destroy();
			assertThat(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isZero();
		}
		finally {
			process.destroyForcibly();
		}
	}

	private static int getStatus(String api, String path) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + api + path)).build();
		return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
	}

	/**
	 * The result of a process that has exited.
	 *
	 * @param exitCode the exit code
	 * @param standardOutput the text written to standard output
	 * @param standardError the text written to standard error
	 */
	private record ProcessResult(int exitCode, String standardOutput, String standardError) {

	}

}
