package org.masticwick.core.pool;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for tasks that crash the endpoints that start them.
 */
class CrashLoopTests {

	/** Three crashes, and the two further starts that the platform tolerates. */
	private static final int MAX_CRASHES_OF_A_TASK = 5;

	private static final JobOrigin ORIGIN = new JobOrigin("host-1", 1);

	private final RecordedActions actions = new RecordedActions();

	private final PoolScheduler scheduler = new PoolScheduler(PoolSettings.defaults(), this.actions);

	private final SimulatedEndpoints endpoints = new SimulatedEndpoints(this.scheduler, this.actions, 12);

	private void submit(String jobId, int taskCount, long budgetMillis) {
		StepSpec step = new StepSpec(taskCount, new Resources(27_000, 1, 0), 60, List.of(), "", "", 0);
		this.scheduler.submit(new JobSpec(jobId, "payload", List.of(step)),
				new JobTerms("queue", "service", 0, 2, 1.6, 60, budgetMillis, 3), ORIGIN, this.endpoints.nowMillis());
	}

	private Map<TaskId, Long> crashesByTask() {
		return this.endpoints.crashingRuns()
			.stream()
			.collect(Collectors.groupingBy(TaskRun::task, Collectors.counting()));
	}

	private List<JobOutcome.Kind> outcomes(String jobId) {
		return this.actions.answers()
			.stream()
			.filter((answer) -> answer.jobId().equals(jobId))
			.map((answer) -> answer.outcome().kind())
			.toList();
	}

	@Nested
	class InteractiveJobs {

		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void doNotCrashOneEndpointAfterAnother(boolean newIds) {
			if (newIds) {
				CrashLoopTests.this.endpoints.changeIdsAfterCrashes();
			}
			CrashLoopTests.this.endpoints.crashUnder((task) -> task.jobId().equals("deadly") && task.index() == 0);
			submit("deadly", 6, 60_000);
			CrashLoopTests.this.endpoints.play(40_000);
			assertThat(crashesByTask().values()).allMatch((crashes) -> crashes <= MAX_CRASHES_OF_A_TASK);
			assertThat(outcomes("deadly")).containsExactly(JobOutcome.Kind.FAILED);
		}

	}

}
