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
 * Tests for {@link Masticwickd} as a process.
 */
class MasticwickdTests {

	private static final long LIMIT_SECONDS = 60;

	private static final String GOOD = "[host]\ndomain = 'd1'\n[platform]\naddress = '127.0.0.1:1'\n";

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

	private Ended run(String... arguments) throws Exception {
		Process process = start(List.of(arguments));
		String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		assertThat(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		return new Ended(process.exitValue(), out, Files.readString(this.directory.resolve("err")));
	}

	private String settings(String text) throws IOException {
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
	void tellsHowItIsUsed(String arguments, int status, String shown) throws Exception {
		Ended ended = run(arguments.split(" "));
		assertThat(ended.status()).isEqualTo(status);
		assertThat((status == 0) ? ended.out() : ended.err()).contains(shown).doesNotContain("\tat ");
	}

	@Test
	void checksSettingsWithoutStarting() throws Exception {
		Ended ended = run("--config", settings(GOOD), "--check-config");
		assertThat(ended).isEqualTo(new Ended(0, "The settings are right.\n", ""));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void listsEachProblemOfTheSettings(boolean checkOnly) throws Exception {
		String file = settings("[host]\ndomain = 'D 1'\nport = 7\n[requests]\nwait_max_ms = '5 s'\n");
		Ended ended = checkOnly ? run("--check-config", "--config", file) : run("--config", file);
		assertThat(ended.status()).isEqualTo(3);
		assertThat(ended.err().lines()).hasSize(4)
			.allSatisfy((line) -> assertThat(line).startsWith(file + ": ").contains(", allowed: "));
		assertThat(ended.err()).contains("host.domain", "host.port", "platform.address", "requests.wait_max_ms");
	}

	@ParameterizedTest
	@ValueSource(strings = { "api_address", "peer_address" })
	void tellsWhichAddressIsTaken(String key) throws Exception {
		try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			String address = "127.0.0.1:" + taken.getLocalPort();
			Ended ended = run("--config", settings(GOOD.replace("'d1'\n", "'d1'\n" + key + " = '" + address + "'\n")));
			assertThat(ended.status()).isEqualTo(5);
			assertThat(ended.err().lines().filter((line) -> line.startsWith("masticwickd: "))).singleElement()
				.asString()
				.contains("start-failed", "host." + key, address);
			assertThat(ended.err()).doesNotContain("\tat ");
			assertThat(ended.out()).isEmpty();
		}
	}

	@Test
	void startsWithoutThePlatformButIsNotReady() throws Exception {
		Process process = start(List.of("--config", settings(GOOD)));
		try (BufferedReader out = process.inputReader()) {
			String api = new ObjectMapper().readTree(out.readLine()).path("api").asText();
			assertThat(get(api, "/health")).isEqualTo(200);
			assertThat(get(api, "/ready")).isEqualTo(503);
			process.destroy();
			assertThat(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).isZero();
		}
		finally {
			process.destroyForcibly();
		}
	}

	private static int get(String api, String path) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + api + path)).build();
		return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
	}

	/**
	 * Is a process that has ended.
	 *
	 * @param status the exit code
	 * @param out its standard output
	 * @param err its standard error
	 */
	private record Ended(int status, String out, String err) {

	}

}
