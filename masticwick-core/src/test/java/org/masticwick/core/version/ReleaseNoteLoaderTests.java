package org.masticwick.core.version;

import java.nio.file.Path;
import java.util.Map;

import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link ReleaseNoteLoader}.
 */
class ReleaseNoteLoaderTests {

	private static final String NOTE = """
			id = "2026-term-3"
			base = 17

			[[services]]
			change = "add"
			name = "fitting"
			kinds = ["width-check", "last-size"]
			lookup = true
			max_run_ms = 10000

			[[capacities]]
			change = "change"
			address = "10.1.0.1:8080"
			domain = "hobart"
			rack = "h-2"
			service = "fitting"
			slots = 8
			connections = 64
			processors = 32
			memory_mb = 131072
			accelerators = 1

			[[rules]]
			change = "withdraw"
			name = "team-share/counter"
			""";

	private final ReleaseNoteLoader loader = new ReleaseNoteLoader();

	@Nested
	class Valid {

		@Test
		void readsEveryField() {
			ReleaseNote note = ReleaseNoteLoaderTests.this.loader.parse("note.toml", NOTE);
			HostAddress address = new HostAddress("10.1.0.1", 8080);
			assertThat(note).isEqualTo(ReleaseNote.builder("2026-term-3", 17)
				.add(SiteFixtures.service("fitting", 10_000))
				.change(new EndpointSpec(address, "hobart", "h-2", "fitting", 8, 64, 32, 131_072, 1))
				.withdrawRule("team-share/counter")
				.build());
		}

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				hobart             | hobart
				hobart,derwent     | derwent, hobart
				hobart, d.1/a~b    | d.1/a~b, hobart
				hobart,hobart      | hobart
				""")
		void readsDrainedDomains(String value, String domains) {
			ReleaseNote note = ReleaseNoteLoaderTests.this.loader.parse("note.toml",
					NOTE + "\n[[rules]]\nchange = \"add\"\nname = \"dispatch/drained-domains\"\nvalue = \"" + value
							+ "\"\n");
			Rules rules = new Rules(Map.of(Rules.DRAINED_DOMAINS, note.rules().get(1).value()));
			assertThat(rules.drainedDomains()).containsExactly(domains.split(", "));
		}

	}

	@Nested
	class Invalid {

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				base = 17              | base = "17"          | base                    | a whole number
				base = 17              | bass = 17            | base                    | a whole number
				base = 17              | base = -1            | base                    | 0 to 9223372036854775807
				id = "2026-term-3"     | id = " "             | id                      | letters
				change = "add"         | change = "put"       | services[0].change      | "add", "change" or "withdraw"
				lookup = true          | lookup = "yes"       | services[0].lookup      | true or false
				max_run_ms = 10000     | max_run_ms = 0       | services[0].max_run_ms  | 1 to 86400000
				lookup = true          | look = true          | services[0].look        | change, kinds, lookup
				"last-size"]           | 7]                   | services[0].kinds       | an array of quoted strings
				slots = 8              | slots = 0            | capacities[0].slots     | 1 to 1000000
				slots = 8              | slots = 9999999999   | capacities[0].slots     | a whole number up to
				memory_mb = 131072     | memory = 131072      | capacities[0].memory_mb | a whole number
				"10.1.0.1:8080"        | "10.1.0.1"           | capacities[0].address   | "ip:port"
				"team-share/counter"   | "team-shares/x"      | rules[0].name           | dispatch/placement
				""")
		void reportsKeyAndAllowedValues(String good, String bad, String key, String allowed) {
			assertThatExceptionOfType(InvalidNoteException.class)
				.isThrownBy(() -> ReleaseNoteLoaderTests.this.loader.parse("note.toml", NOTE.replace(good, bad)))
				.satisfies((ex) -> assertThat(ex.errorCode()).isEqualTo(ErrorCode.INVALID_NOTE))
				.extracting(InvalidNoteException::problems, InstanceOfAssertFactories.list(NoteProblem.class))
				.anySatisfy((problem) -> {
					assertThat(problem.source()).isEqualTo("note.toml");
					assertThat(problem.key()).startsWith(key);
					assertThat(problem.allowed()).contains(allowed);
				});
		}

		@ParameterizedTest
		@ValueSource(strings = { "hobart derwent", "hobart,,derwent", ",", "-hobart" })
		void reportsListOfDrainedDomainsThatIsNotOne(String value) {
			String bad = NOTE + "\n[[rules]]\nchange = \"add\"\nname = \"dispatch/drained-domains\"\nvalue = \"" + value
					+ "\"\n";
			assertThatExceptionOfType(InvalidNoteException.class)
				.isThrownBy(() -> ReleaseNoteLoaderTests.this.loader.parse("note.toml", bad))
				.satisfies((ex) -> assertThat(ex.problems()).singleElement().satisfies((problem) -> {
					assertThat(problem.key()).isEqualTo("rules[1].value");
					assertThat(problem.allowed()).contains("separated by commas");
				}));
		}

		@Test
		void reportsEveryProblemAtOnce() {
			String bad = NOTE.replace("slots = 8", "slots = true")
				.replace("lookup = true", "")
				.replace("base = 17", "base = 1.5");
			assertThatExceptionOfType(InvalidNoteException.class)
				.isThrownBy(() -> ReleaseNoteLoaderTests.this.loader.parse("note.toml", bad))
				.satisfies((ex) -> assertThat(ex.problems()).extracting(NoteProblem::key)
					.containsExactly("base", "services[0].lookup", "capacities[0].slots"));
		}

		@Test
		void reportsTextThatIsNotToml() {
			assertThatExceptionOfType(InvalidNoteException.class)
				.isThrownBy(() -> ReleaseNoteLoaderTests.this.loader.parse("note.toml", "id = \"a\"\nbase 17\n"))
				.withMessageContaining("note.toml: line 2");
		}

		@Test
		void reportsMissingFile() {
			assertThatExceptionOfType(InvalidNoteException.class)
				.isThrownBy(() -> ReleaseNoteLoaderTests.this.loader.load(Path.of("no-such-note.toml")))
				.withMessageContaining("no-such-note.toml");
		}

	}

}
