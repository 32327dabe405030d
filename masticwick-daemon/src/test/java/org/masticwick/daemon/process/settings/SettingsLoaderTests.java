package org.masticwick.daemon.process.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.log.LogFormat;
import org.masticwick.log.LogSettings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests for {@link SettingsLoader}.
 */
class SettingsLoaderTests {

	private static final String REQUIRED_SETTINGS = "host.domain='hobart'\nplatform.address='10.0.0.1:7000'\n";

	private static List<SettingsProblem> problemsOf(String text) {
		return catchThrowableOfType(InvalidSettingsException.class, () -> SettingsLoader.parse(text, "x.toml"))
			.problems();
	}

	@Nested
	class Defaults {

		@Test
		void applyToAllButDomainAndPlatformAddress() {
			Settings settings = SettingsLoader.parse(REQUIRED_SETTINGS, "x.toml");
			assertThat(settings).isEqualTo(
					new Settings(
							new HostSettings("hobart", new InetSocketAddress("127.0.0.1", 0),
									new InetSocketAddress("127.0.0.1", 0), null),
							new PlatformSettings(HostAddress.parse("10.0.0.1:7000"), 4000, 1000, 10000, 256),
							new PeerSettings(List.of(), 1000, 2500, 2000), new TicketSettings(300000, 1000),
							new RequestSettings(4194304, 65536, 1048576, 8192, 560, 120000, 60000, 600000, 10000,
									50331648),
							new DispatchSettings(20000, 30000, 0.1, 500, 1000), new StopSettings(30000, 5000),
							new LogSettings(LogFormat.JSON, "info")));
		}

	}

	@Nested
	class Problems {

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				host.domian='a'               | host.domian               | nearest is domain
				hots.domain='a'               | hots                      | nearest is host
				peers.silence_limit_s=2       | peers.silence_limit_s     | nearest is silence_limit_ms
				peers.silence_limit_ms='2s'   | peers.silence_limit_ms    | a whole number of milliseconds
				peers.silence_limit_ms=2.5    | peers.silence_limit_ms    | a whole number of milliseconds
				peers.silence_limit_ms=600    | peers.silence_limit_ms    | at least twice heartbeat_interval_ms
				peers.seeds=['1.2.3.4:0']     | peers.seeds[0]            | port 1 to 65535
				peers.seeds='1.2.3.4:1'       | peers.seeds               | a list
				host.api_address='localhost:80' | host.api_address        | an address
				host.api_address='1.2.3.4'    | host.api_address          | an address
				host.api_address='1.2.3.444:1' | host.api_address         | an address
				host.peer_address=80          | host.peer_address         | an address
				host.peer_advertised_address='1.2.3.4:0' | host.peer_advertised_address | port 1 to 65535
				requests.body_bytes_max=0     | requests.body_bytes_max   | 1024 to 268435456
				requests.job_task_count_max=561 | requests.job_task_count_max | 1 to 560
				requests.deadline_max_ms=10   | requests.deadline_default_ms | at most deadline_max_ms
				requests.body_bytes_max=2048  | requests.payload_bytes_max | at most body_bytes_max
				dispatch.retry_budget_fraction=1.5 | dispatch.retry_budget_fraction | 0.0 to 1.0
				dispatch.retry_budget_fraction=nan | dispatch.retry_budget_fraction | 0.0 to 1.0
				tickets.lifetime_ms=99999999999999999999 | tickets.lifetime_ms | 1000 to 86400000
				log.format='xml'              | log.format                | one of json, text
				stop=30000                    | stop                      | a section [stop]
				""")
		void nameKeyAndAllowedValues(String line, String key, String allowed) {
			List<SettingsProblem> problems = problemsOf(REQUIRED_SETTINGS + line);
			assertThat(problems).singleElement().satisfies((problem) -> {
				assertThat(problem.file()).isEqualTo("x.toml");
				assertThat(problem.key()).isEqualTo(key);
				assertThat(problem.allowed()).contains(allowed);
			});
		}

		@Test
		void areReportedTogether() {
			List<SettingsProblem> problems = problemsOf("log.level='loud'\nstop.deadline_s=3\n");
			assertThat(problems).extracting(SettingsProblem::key)
				.containsExactly("host.domain", "platform.address", "stop.deadline_s", "log.level");
			assertThat(problems).extracting(SettingsProblem::value)
				.containsExactly("(missing)", "(missing)", "3", "\"loud\"");
		}

		@ParameterizedTest
		@CsvSource({ "host = [, line 1", "stop.a = 1;stop.a = 2, line 2" })
		void giveLineOfTomlSyntaxError(String text, String location) {
			assertThat(problemsOf(text.replace(";", "\n"))).singleElement()
				.satisfies((problem) -> assertThat(problem.value()).containsIgnoringCase(location));
		}

		@Test
		void nameMissingFile() {
			Path file = Path.of("no-such-file.toml");
			assertThatExceptionOfType(InvalidSettingsException.class).isThrownBy(() -> SettingsLoader.load(file))
				.withMessageContaining("no-such-file.toml");
		}

	}

}
