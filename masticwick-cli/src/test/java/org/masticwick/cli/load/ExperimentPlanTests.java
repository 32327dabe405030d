package org.masticwick.cli.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link ExperimentPlan} and {@link RatioPlot}.
 */
class ExperimentPlanTests {

	@Nested
	class Reading {

		@Test
		void overridesPlanValuesWithRunValues() throws JsonProcessingException {
			ExperimentPlan plan = ExperimentPlan.parse("""
					seed = 9
					mix = "single"
					slots = 80
					[[runs]]
					name = "a"
					load = 0.3
					[[runs]]
					name = "b"
					mix = "jobs"
					rules = { "dispatch/placement" = "random" }
					faults = [{ at_ms = 500, admin = 1, worker = 0, fail_all = true }]
					""");
			assertThat(plan.runs()).extracting((run) -> run.options().name()).containsExactly("a", "b");
			assertThat(plan.runs()).extracting((run) -> run.options().mix()).containsExactly("single", "jobs");
			assertThat(plan.runs()).extracting((run) -> run.options().seed()).containsOnly(9L);
			assertThat(plan.runs()).extracting((run) -> run.rules())
				.containsExactly(Map.of(), Map.of("dispatch/placement", "random"));
			assertThat(plan.runs().get(1).faults()).singleElement().satisfies((fault) -> {
				assertThat(fault.offsetMillis()).isEqualTo(500);
				assertThat(fault.adminIndex()).isEqualTo(1);
				assertThat(fault.fault()).hasToString("{\"worker\":0,\"fail_all\":true}");
			});
		}

		@ParameterizedTest
		@ValueSource(strings = { "seed = 1", "laod = 1\n[[runs]]\nname = 'a'" })
		void rejectsInvalidPlan(String text) {
			assertThatExceptionOfType(InvalidPlanException.class).isThrownBy(() -> ExperimentPlan.parse(text));
		}

	}

	@Nested
	class Examples {

		@ParameterizedTest
		@ValueSource(strings = { "loads", "placement", "faults" })
		void areValidPlans(String name) {
			Path file = Path.of("..", "examples", "experiments", name + ".toml");
			assertThat(ExperimentPlan.load(file).runs()).hasSizeGreaterThan(1);
		}

	}

	@Nested
	class Plotting {

		@ParameterizedTest
		@ValueSource(strings = { "plot.png", "plot.svg" })
		void drawsReports(String name, @TempDir Path directory) throws IOException {
			String report = """
					{"options":{"name":"a"},"single_ratio":{"count":3,"curve":[[0,1.0],[90,1.2],[100,2.0]]},
					"job_ratio":{"count":0}}""";
			Path out = directory.resolve(name);
			RatioPlot.write(RatioPlot.draw(Map.of("a", new ObjectMapper().readTree(report))), out);
			assertThat(Files.size(out)).isGreaterThan(1_000);
		}

	}

}
