package org.masticwick.cli.load;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LoadRun}.
 */
class LoadRunTests {

	private static final LoadOptions OPTIONS = new LoadOptions("test", 11, "guild", ArrivalPattern.STEADY, 500, 0, 200,
			0, 8, 5_000, 0.1, 0.2, 0, 0, 4);

	private static LoadReport run(FakeSite site) {
		try (SiteProbe probe = new SiteProbe(List.of(site.url()), List.of(site.url()))) {
			return new LoadRun(OPTIONS, List.of(site.url()), probe).run(List.of());
		}
	}

	@Nested
	class Healthy {

		@Test
		void reportsEveryJobAndNoViolation() throws IOException {
			try (FakeSite site = new FakeSite(FakeSite.Fault.NONE)) {
				LoadReport report = run(site);
				assertThat(report.violations()).isEmpty();
				assertThat(report.jobCount()).isEqualTo(100);
				assertThat(report.outcomes()).containsEntry("complete", 100L).containsKey("resubmitted");
				assertThat(report.singleRatio().count() + report.jobRatio().count()).isEqualTo(100);
				assertThat(report.startedTaskCount()).isEqualTo(report.taskCount());
				assertThat(report.messages()).containsEntry("start", (double) report.taskCount());
				assertThat(report.wastedMessages()).containsKey("refused");
				assertThat(report.endpointMessages()).containsEntry("started", (double) report.taskCount());
			}
		}

	}

	@Nested
	class Guarantees {

		@ParameterizedTest
		@CsvSource({ "START_TWICE, STARTED_TWICE", "START_AND_REFUSE, STARTED_AFTER_NOT_RUN",
				"WRONG_ANSWER, WRONG_ANSWER", "PARTIAL_ANSWER, PARTIAL_ANSWER" })
		void violationIsReported(FakeSite.Fault fault, Violation.Type type) throws IOException {
			try (FakeSite site = new FakeSite(fault)) {
				assertThat(run(site).violations()).containsOnlyKeys(type);
			}
		}

		@Test
		void refusalIsNoViolation() throws IOException {
			try (FakeSite site = new FakeSite(FakeSite.Fault.REFUSE)) {
				LoadReport report = run(site);
				assertThat(report.violations()).isEmpty();
				assertThat(report.problems()).containsKey("refused/overloaded");
			}
		}

	}

}
