package org.masticwick.daemon.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Job}.
 */
class JobTests {

	private static final HostAddress ENDPOINT = new HostAddress("127.0.0.1", 9000);

	private static final EntryHost HOME = new EntryHost("hobart", new HostAddress("127.0.0.1", 7201),
			new Incarnation(1, 2));

	private static Job job(int taskCount) {
		List<TaskSpec> tasks = IntStream.range(0, taskCount)
			.mapToObj((i) -> new TaskSpec("k", "p" + i, 0, 0, 0))
			.toList();
		Ticket ticket = new TicketFactory(HOME, TicketKey.random(), 0).issue(1, 1).get(0);
		return new Job(ticket, new byte[] { 1 }, new JobRequest("s", "t", false, false, 1000, tasks), 0);
	}

	private static String body(Job job) {
		return new String(job.answer().join().body(), StandardCharsets.UTF_8);
	}

	@ParameterizedTest
	@EnumSource(names = { "NEVER_FITS", "UNKNOWN_SERVICE" })
	void refusalForGoodTellsNoTimeToComeBack(ErrorCode code) {
		Job job = job(1);
		job.abandon(code, ErrorCode.JOB_FAILED, "", 0);
		assertThat(job.answer().join().retryAfterMillis()).isNegative();
		assertThat(body(job)).doesNotContain("retry_after_ms");
	}

	@Nested
	class Starting {

		@Test
		void happensOncePerTask() {
			Job job = job(1);
			assertThat(job.tryStart(0, ENDPOINT)).isTrue();
			assertThat(job.tryStart(0, ENDPOINT)).isFalse();
		}

		@Test
		void mayHappenAgainOnceTakenBack() {
			Job job = job(1);
			job.tryStart(0, ENDPOINT);
			job.revertStart(0);
			assertThat(job.tryStart(0, ENDPOINT)).isTrue();
		}

		@Test
		void neverHappensAfterTheEnd() {
			Job job = job(2);
			job.abandon(ErrorCode.OVERLOADED, ErrorCode.JOB_FAILED, "", 5);
			assertThat(job.tryStart(0, ENDPOINT)).isFalse();
		}

	}

	@Nested
	class Ending {

		@Test
		void isCompleteWhenAllTasksSucceeded() {
			Job job = job(2);
			job.tryStart(0, ENDPOINT);
			job.tryStart(1, ENDPOINT);
			assertThat(job.recordResult(1, "b")).isFalse();
			assertThat(job.answer()).isNotDone();
			assertThat(job.recordResult(0, "a")).isTrue();
			assertThat(body(job)).contains("\"results\":[\"a\",\"b\"]");
		}

		@Test
		void isRefusedIfNoTaskWasStarted() {
			Job job = job(2);
			job.tryStart(0, ENDPOINT);
			job.revertStart(0);
			job.abandon(ErrorCode.OVERLOADED, ErrorCode.JOB_FAILED, "", 5);
			assertThat(body(job)).contains("\"code\":\"overloaded\"", "\"ran\":\"no\"", "\"retry_after_ms\":5");
		}

		@Test
		void isFailedIfATaskWasStarted() {
			Job job = job(2);
			job.tryStart(0, ENDPOINT);
			job.abandon(ErrorCode.OVERLOADED, ErrorCode.JOB_FAILED, "", 5);
			assertThat(body(job)).contains("\"code\":\"job-failed\"", "\"ran\":\"yes\"", "\"state\":\"started\"")
				.doesNotContain("retry_after_ms");
		}

		@Test
		void happensOnce() {
			Job job = job(1);
			assertThat(job.abandon(ErrorCode.OVERLOADED, ErrorCode.JOB_FAILED, "", 5)).isTrue();
			assertThat(job.abandon(ErrorCode.DEADLINE_PASSED, ErrorCode.JOB_FAILED, "", 5)).isFalse();
			assertThat(body(job)).contains("overloaded");
		}

		@ParameterizedTest
		@ValueSource(ints = { 1, 2, 3, 4, 5, 6, 7, 8 })
		void neverSaysNotRunWhenAStartRacedIt(int round) throws Exception {
			ExecutorService threads = Executors.newFixedThreadPool(2);
			try {
				for (int i = 0; i < 500; i++) {
					Job job = job(1);
					CountDownLatch go = new CountDownLatch(1);
					Future<Boolean> started = threads.submit(() -> {
						go.await();
						return job.tryStart(0, ENDPOINT);
					});
					Future<Boolean> ended = threads.submit(() -> {
						go.await();
						return job.abandon(ErrorCode.OVERLOADED, ErrorCode.JOB_FAILED, "", 5);
					});
					go.countDown();
					assertThat(ended.get()).isTrue();
					assertThat(body(job)).contains(started.get() ? "\"ran\":\"yes\"" : "\"ran\":\"no\"");
				}
			}
			finally {
				threads.shutdownNow();
			}
		}

	}

}
