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
		TaskSpec fits = Fixtures.task("width", 1_000, 1);
		return Stream.of(Arguments.of("another service", "other", List.of(fits), ErrorCode.UNKNOWN_SERVICE),
				Arguments.of("another kind", Fixtures.SERVICE, List.of(Fixtures.task("height", 0, 0)),
						ErrorCode.NEVER_FITS),
				Arguments.of("too much memory in one task", Fixtures.SERVICE,
						List.of(fits, Fixtures.task("size", 1_001, 0)), ErrorCode.NEVER_FITS),
				Arguments.of("too many accelerators", Fixtures.SERVICE, List.of(Fixtures.task("size", 0, 2)),
						ErrorCode.NEVER_FITS),
				Arguments.of("no tasks", Fixtures.SERVICE, List.of(), ErrorCode.INVALID_REQUEST));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("refusals")
	void refusesForGood(String name, String service, List<TaskSpec> tasks, ErrorCode code) {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
		JobRequest request = new JobRequest(service, "team", false, false, 1_000, tasks);
		Admission admission = scheduler.admit(new JobSubmission("t", request, Fixtures.FAR), 0);
		assertThat(admission).isInstanceOfSatisfying(Admission.Rejected.class, (rejected) -> {
			assertThat(rejected.code()).isEqualTo(code);
			assertThat(rejected.retryAfterMillis()).isZero();
		});
		assertThat(scheduler.schedule(0).starts()).isEmpty();
	}

	@Test
	void refusesWithoutVersion() {
		Scheduler scheduler = Fixtures.scheduler(SchedulerSettings.defaults(), SiteVersion.EMPTY);
		assertThat(code(scheduler.admit(Fixtures.job("t", 1), 0))).isEqualTo(ErrorCode.NO_VERSION);
	}

	@ParameterizedTest
	@EnumSource(value = EndpointState.class, names = "LIVE", mode = EnumSource.Mode.EXCLUDE)
	void refusesWithoutEndpoint(EndpointState state) {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
		scheduler.updateEndpointState(Fixtures.address(1), state, 0);
		assertThat(code(scheduler.admit(Fixtures.job("t", 1), 0))).isEqualTo(ErrorCode.NO_ENDPOINT);
	}

	@ParameterizedTest
	@CsvSource({ "100, DEADLINE_UNREACHABLE", "0, DEADLINE_PASSED" })
	void refusesWhatMissesItsDeadline(long deadlineMillis, ErrorCode code) {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
		JobSubmission job = new JobSubmission("t", Fixtures.request("team", false, 3), deadlineMillis * Fixtures.MILLI);
		assertThat(code(scheduler.admit(job, 0))).isEqualTo(code);
	}

	@Test
	void refusesWhatWouldWaitTooLongAndTellsWhenToComeBack() {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 1));
		scheduler.admit(Fixtures.job("t1", 200), 0);
		Admission admission = scheduler.admit(Fixtures.job("t2", 1), 0);
		assertThat(admission).isInstanceOfSatisfying(Admission.Rejected.class, (rejected) -> {
			assertThat(rejected.code()).isEqualTo(ErrorCode.OVERLOADED);
			assertThat(rejected.retryAfterMillis()).isBetween(10_000L, 15_000L);
		});
		assertThat(scheduler.admit(Fixtures.job("t3", "team", true, 1), 0)).isInstanceOf(Admission.Admitted.class);
	}

	@Test
	void keepsRoomForOtherTeams() {
		SchedulerSettings settings = SchedulerSettings.builder().queueLimitCount(1_000).build();
		Scheduler scheduler = Fixtures.scheduler(settings, Fixtures.version(1,
				Map.of("team-share/a", "1", "team-share/b", "1"), Fixtures.endpoint(1, Fixtures.DOMAIN, 64)));
		scheduler.admit(Fixtures.job("a1", "a", false, 500), 0);
		scheduler.admit(Fixtures.job("b1", "b", false, 1), 0);
		assertThat(code(scheduler.admit(Fixtures.job("a2", "a", false, 500), 0))).isEqualTo(ErrorCode.QUOTA_EXCEEDED);
		assertThat(scheduler.admit(Fixtures.job("b2", "b", false, 500), 0)).isInstanceOf(Admission.Admitted.class);
	}

	@Test
	void takesTicketOnce() {
		Scheduler scheduler = Fixtures.scheduler(Fixtures.endpoint(1, Fixtures.DOMAIN, 2));
		scheduler.admit(Fixtures.job("t", 1), 0);
		assertThatIllegalStateException().isThrownBy(() -> scheduler.admit(Fixtures.job("t", 1), 0));
	}

	private ErrorCode code(Admission admission) {
		assertThat(admission).isInstanceOf(Admission.Rejected.class);
		return ((Admission.Rejected) admission).code();
	}

}
