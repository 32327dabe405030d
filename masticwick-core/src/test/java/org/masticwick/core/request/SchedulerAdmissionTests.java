package org.masticwick.core.request;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.version.SiteVersion;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link Scheduler#admit}.
 */
class SchedulerAdmissionTests {

	static Stream<Arguments> refusals() {
		TaskSpec fittingTask = Fixtures.task("width", 1_000, 1);
		return Stream.of(Arguments.of("another service", "other", List.of(fittingTask), ErrorCode.UNKNOWN_SERVICE),
				Arguments.of("another kind", Fixtures.SERVICE, List.of(Fixtures.task("height", 0, 0)),
						ErrorCode.NEVER_FITS),
				Arguments.of("too much memory in one task", Fixtures.SERVICE,
						List.of(fittingTask, Fixtures.task("size", 1_001, 0)), ErrorCode.NEVER_FITS),
				Arguments.of("too many accelerators", Fixtures.SERVICE, List.of(Fixtures.task("size", 0, 2)),
						ErrorCode.NEVER_FITS),
				Arguments.of("no tasks", Fixtures.SERVICE, List.of(), ErrorCode.INVALID_REQUEST));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("refusals")
	void rejectsWithoutRetryDelay(String name, String service, List<TaskSpec> tasks, ErrorCode code) {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
		JobRequest request = new JobRequest(service, "team", false, false, 1_000, tasks);
		Admission admission = scheduler.admit(new JobSubmission("t", request, Fixtures.FAR_DEADLINE_NANOS), 0);
		assertThat(admission).isInstanceOfSatisfying(Admission.Rejected.class, (rejected) -> {
			assertThat(rejected.code()).isEqualTo(code);
			assertThat(rejected.retryAfterMillis()).isZero();
		});
		assertThat(scheduler.schedule(0).starts()).isEmpty();
	}

	@Test
	void rejectsWithoutVersion() {
		Scheduler scheduler = Fixtures.scheduler(SchedulerSettings.defaults(), SiteVersion.EMPTY);
		assertThat(rejectionCode(scheduler.admit(Fixtures.submission("t", 1), 0))).isEqualTo(ErrorCode.NO_VERSION);
	}

	@ParameterizedTest
	@EnumSource(value = EndpointState.class, names = "LIVE", mode = EnumSource.Mode.EXCLUDE)
	void rejectsWithoutLiveEndpoint(EndpointState state) {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
		scheduler.updateEndpointState(Fixtures.address(1), state, 0);
		assertThat(rejectionCode(scheduler.admit(Fixtures.submission("t", 1), 0))).isEqualTo(ErrorCode.NO_ENDPOINT);
	}

	@ParameterizedTest
	@CsvSource({ "100, DEADLINE_UNREACHABLE", "0, DEADLINE_PASSED" })
	void rejectsJobThatWouldMissDeadline(long deadlineMillis, ErrorCode code) {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
		JobSubmission job = new JobSubmission("t", Fixtures.request("team", false, 3),
				deadlineMillis * Fixtures.NANOS_PER_MILLI);
		assertThat(rejectionCode(scheduler.admit(job, 0))).isEqualTo(code);
	}

	@Test
	void rejectsJobWithTooLongWaitAndSuggestsRetryDelay() {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
		scheduler.admit(Fixtures.submission("t1", 200), 0);
		Admission admission = scheduler.admit(Fixtures.submission("t2", 1), 0);
		assertThat(admission).isInstanceOfSatisfying(Admission.Rejected.class, (rejected) -> {
			assertThat(rejected.code()).isEqualTo(ErrorCode.OVERLOADED);
			assertThat(rejected.retryAfterMillis()).isBetween(10_000L, 15_000L);
		});
		assertThat(scheduler.admit(Fixtures.submission("t3", "team", true, 1), 0))
			.isInstanceOf(Admission.Admitted.class);
	}

	@Test
	void keepsQueueCapacityForOtherTeams() {
		SchedulerSettings settings = SchedulerSettings.builder().queueLimitCount(1_000).build();
		Scheduler scheduler = Fixtures.scheduler(settings, Fixtures.version(1,
				Map.of("team-share/a", "1", "team-share/b", "1"), Fixtures.endpoint(1, Fixtures.DOMAIN, 64)));
		scheduler.admit(Fixtures.submission("a1", "a", false, 500), 0);
		scheduler.admit(Fixtures.submission("b1", "b", false, 1), 0);
		assertThat(rejectionCode(scheduler.admit(Fixtures.submission("a2", "a", false, 500), 0)))
			.isEqualTo(ErrorCode.QUOTA_EXCEEDED);
		assertThat(scheduler.admit(Fixtures.submission("b2", "b", false, 500), 0))
			.isInstanceOf(Admission.Admitted.class);
	}

	@Test
	void admitsTicketOnce() {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
		scheduler.admit(Fixtures.submission("t", 1), 0);
		assertThatIllegalStateException().isThrownBy(() -> scheduler.admit(Fixtures.submission("t", 1), 0));
	}

	private ErrorCode rejectionCode(Admission admission) {
		assertThat(admission).isInstanceOf(Admission.Rejected.class);
		return ((Admission.Rejected) admission).code();
	}

}
