package org.masticwick.cli.request;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;

import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.SocketPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.core.process.RunState;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.TaskSpec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link JobClient}.
 */
class JobClientTests {

	private static final JobRequest REQUEST = new JobRequest("s", "team", false, true, 10_000,
			List.of(new TaskSpec("k", "{\"run_ms\":1}", 0, 0, 0)));

	private static final String COMPLETE = "{\"ticket\":\"t1\",\"outcome\":\"complete\",\"results\":[\"r\"]}";

	private final MockWebServer firstHost = new MockWebServer();

	private final MockWebServer secondHost = new MockWebServer();

	private JobClient client;

	@BeforeEach
	void start() throws IOException {
		this.firstHost.start();
		this.secondHost.start();
		JobClientOptions options = new JobClientOptions(2, Duration.ofMillis(200), Duration.ofMillis(800), 4, 2, 7);
		this.client = new JobClient(List.of(this.firstHost.url("/"), this.secondHost.url("/")), options);
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.firstHost.shutdown();
		this.secondHost.shutdown();
	}

	private static MockResponse json(int status, String body) {
		return new MockResponse().setResponseCode(status).setBody(body);
	}

	private static MockResponse tickets(String... texts) {
		String list = String.join("\",\"", texts);
		return json(201, "{\"tickets\":[\"" + list + "\"],\"expires_at_ms\":9000000000000}");
	}

	private static MockResponse problem(int status, String code, String ran, long retryAfterMillis) {
		return json(status,
				"{\"code\":\"%s\",\"ran\":\"%s\",\"retry_after_ms\":%d}".formatted(code, ran, retryAfterMillis));
	}

	private static List<String> requestLines(MockWebServer server) throws InterruptedException {
		List<String> lines = new ArrayList<>();
		for (int count = server.getRequestCount(); count > 0; count--) {
			String line = server.takeRequest().getRequestLine();
			lines.add(line.replaceFirst(" HTTP/1.1$", "").replaceFirst("[?].*", ""));
		}
		return lines;
	}

	private JobAnswer submit() {
		return this.client.submit(REQUEST).join();
	}

	@Nested
	class Answers {

		static Stream<Arguments> cases() {
			return Stream.of(Arguments.of(json(200, COMPLETE), JobAnswer.Complete.class, ""),
					Arguments.of(problem(503, "overloaded", "no", 0), JobAnswer.Refused.class, "overloaded"),
					Arguments.of(problem(502, "job-failed", "yes", 0), JobAnswer.Failed.class, "job-failed"),
					Arguments.of(problem(410, "outcome-forgotten", "unknown", 0), JobAnswer.Unknown.class,
							"outcome-forgotten"),
					Arguments.of(json(500, "oops"), JobAnswer.Unknown.class, Problem.UNREADABLE_ANSWER),
					Arguments.of(json(200, "{}"), JobAnswer.Unknown.class, Problem.UNREADABLE_ANSWER),
					Arguments.of(json(200, COMPLETE.replace("t1", "t2")), JobAnswer.Unknown.class,
							Problem.UNREADABLE_ANSWER),
					Arguments.of(json(200, COMPLETE.replace("\"r\"", "null")), JobAnswer.Unknown.class,
							Problem.UNREADABLE_ANSWER));
		}

		@ParameterizedTest
		@MethodSource("cases")
		void areMappedToTypeAndCode(MockResponse response, Class<? extends JobAnswer> type, String code) {
			JobClientTests.this.firstHost.enqueue(tickets("t1"));
			JobClientTests.this.firstHost.enqueue(response);
			JobAnswer answer = submit();
			assertThat(answer).isInstanceOf(type);
			assertThat(answer.ticket()).isEqualTo("t1");
			if (!code.isEmpty()) {
				assertThat(answer).extracting("problem.code").isEqualTo(code);
			}
		}

		@Test
		void containTaskStatesOfFailedJob() {
			JobClientTests.this.firstHost.enqueue(tickets("t1"));
			JobClientTests.this.firstHost.enqueue(json(502,
					"{\"code\":\"job-failed\",\"ran\":\"yes\"," + "\"tasks\":[{\"index\":0,\"state\":\"failed\"}]}"));
			assertThat(submit()).isInstanceOfSatisfying(JobAnswer.Failed.class,
					(failed) -> assertThat(failed.problem().tasks())
						.containsExactly(new Problem.TaskOutcome(0, "failed")));
		}

	}

	@Nested
	class Resubmission {

		@ParameterizedTest
		@CsvSource({ "NO_RESPONSE", "DISCONNECT_AFTER_REQUEST", "DISCONNECT_DURING_RESPONSE_BODY" })
		void usesNextHostAndSameTicket(SocketPolicy policy) throws InterruptedException {
			JobClientTests.this.firstHost.enqueue(tickets("t1"));
			JobClientTests.this.firstHost.enqueue(json(200, COMPLETE).setSocketPolicy(policy));
			JobClientTests.this.secondHost.enqueue(json(200, COMPLETE));
			assertThat(submit()).isEqualTo(new JobAnswer.Complete("t1", List.of("r")));
			assertThat(requestLines(JobClientTests.this.secondHost)).containsExactly("PUT /v1/jobs/t1");
			assertThat(JobClientTests.this.client.counters().resubmissionCount()).isEqualTo(1);
		}

		@Test
		void usesNextHostWhenIssuerIsUnreachable() throws IOException {
			JobClientTests.this.firstHost.enqueue(tickets("t1"));
			Ticket ticket = JobClientTests.this.client.ticketOf(0).join();
			JobClientTests.this.firstHost.shutdown();
			JobClientTests.this.secondHost.enqueue(json(200, COMPLETE));
			assertThat(JobClientTests.this.client.submit(ticket, REQUEST).join())
				.isInstanceOf(JobAnswer.Complete.class);
		}

		@Test
		void followsRetryableUnknownOutcome() throws InterruptedException {
			JobClientTests.this.firstHost.enqueue(tickets("t1"));
			JobClientTests.this.firstHost.enqueue(problem(504, "outcome-unknown", "unknown", 10));
			JobClientTests.this.secondHost.enqueue(json(200, COMPLETE));
			assertThat(submit()).isInstanceOf(JobAnswer.Complete.class);
			assertThat(requestLines(JobClientTests.this.secondHost)).containsExactly("PUT /v1/jobs/t1");
		}

		@Test
		void stopsAtAttemptLimitWithUnknownOutcome() {
			JobClientTests.this.firstHost.enqueue(tickets("t1"));
			for (int count = 0; count < 2; count++) {
				JobClientTests.this.firstHost
					.enqueue(new MockResponse().setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST));
				JobClientTests.this.secondHost
					.enqueue(new MockResponse().setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST));
			}
			assertThat(submit()).isInstanceOfSatisfying(JobAnswer.Unknown.class, (unknown) -> {
				assertThat(unknown.problem().code()).isEqualTo(Problem.UNREACHABLE);
				assertThat(unknown.problem().runState()).isEqualTo(RunState.UNKNOWN);
			});
		}

		@Test
		void pollsTheSameHostWhileTheJobRuns() throws InterruptedException {
			JobClientTests.this.firstHost.enqueue(tickets("t1"));
			JobClientTests.this.firstHost.enqueue(json(202, "{\"ticket\":\"t1\",\"outcome\":\"running\"}"));
			JobClientTests.this.firstHost.enqueue(json(200, COMPLETE));
			assertThat(submit()).isInstanceOf(JobAnswer.Complete.class);
			assertThat(requestLines(JobClientTests.this.firstHost)).containsExactly("POST /v1/tickets",
					"PUT /v1/jobs/t1", "GET /v1/jobs/t1");
		}

	}

	@Nested
	class RefusalRetry {

		@Test
		void usesNewTicket() throws InterruptedException {
			JobClientTests.this.firstHost.enqueue(tickets("t0"));
			JobClientTests.this.firstHost.enqueue(problem(503, "overloaded", "no", 5));
			JobClientTests.this.secondHost.enqueue(tickets("t1"));
			JobClientTests.this.secondHost.enqueue(json(200, COMPLETE));
			assertThat(submit()).isInstanceOf(JobAnswer.Complete.class);
			assertThat(requestLines(JobClientTests.this.secondHost)).containsExactly("POST /v1/tickets",
					"PUT /v1/jobs/t1");
			assertThat(JobClientTests.this.client.counters().refusalRetryCount()).isEqualTo(1);
		}

		@Test
		void stopsAtRetryLimit() {
			for (int count = 0; count < 2; count++) {
				JobClientTests.this.firstHost.enqueue(tickets("t" + count));
				JobClientTests.this.firstHost.enqueue(problem(503, "overloaded", "no", 5));
				JobClientTests.this.secondHost.enqueue(tickets("u" + count));
				JobClientTests.this.secondHost.enqueue(problem(503, "overloaded", "no", 5));
			}
			assertThat(submit()).isInstanceOf(JobAnswer.Refused.class);
			assertThat(JobClientTests.this.client.counters().refusalRetryCount()).isEqualTo(2);
		}

	}

	@Nested
	class Tickets {

		@Test
		void ofUnreachableIssuerAreDiscarded() throws IOException {
			JobClientTests.this.firstHost.enqueue(tickets("t1", "t3"));
			JobClientTests.this.secondHost.enqueue(json(200, COMPLETE));
			JobClientTests.this.secondHost.enqueue(tickets("t5", "t6"));
			Ticket ticket = JobClientTests.this.client.ticketOf(0).join();
			JobClientTests.this.firstHost.shutdown();
			JobClientTests.this.client.submit(ticket, REQUEST).join();
			assertThat(JobClientTests.this.client.ticketFrom(0).join().text()).isEqualTo("t5");
		}

		@Test
		void areFetchedInBlocks() throws InterruptedException {
			JobClientTests.this.firstHost.enqueue(tickets("a", "b"));
			JobClientTests.this.firstHost.enqueue(tickets("c", "d"));
			List<String> taken = Stream.generate(() -> JobClientTests.this.client.ticketOf(0).join().text())
				.limit(3)
				.toList();
			assertThat(taken).containsExactly("a", "b", "c");
			assertThat(requestLines(JobClientTests.this.firstHost)).hasSize(2);
		}

		@Test
		void areFetchedFromNextHostAfterRefusal() {
			JobClientTests.this.firstHost.enqueue(problem(503, "draining", "no", 0));
			JobClientTests.this.secondHost.enqueue(tickets("t1"));
			assertThat(JobClientTests.this.client.ticket().join().text()).isEqualTo("t1");
		}

		@Test
		void failWithProblemFromHost() {
			JobClientTests.this.firstHost.enqueue(problem(503, "draining", "no", 0));
			assertThatExceptionOfType(ProblemException.class).isThrownBy(() -> {
				try {
					JobClientTests.this.client.ticketOf(0).join();
				}
				catch (CompletionException ex) {
					throw ex.getCause();
				}
			}).withMessageContaining("draining");
		}

	}

}
