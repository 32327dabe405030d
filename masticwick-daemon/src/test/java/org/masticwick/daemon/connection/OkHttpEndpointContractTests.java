package org.masticwick.daemon.connection;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.QueueDispatcher;
import okhttp3.mockwebserver.RecordedRequest;
import okhttp3.mockwebserver.SocketPolicy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient.LookupReply;
import org.masticwick.daemon.connection.EndpointClient.LookupState;
import org.masticwick.daemon.connection.EndpointClient.PostReply;
import org.masticwick.daemon.connection.EndpointClient.RefusalReason;
import org.masticwick.daemon.connection.EndpointClient.TaskPost;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link OkHttpEndpointClient} keeps the contract with endpoints: the requests
 * that it sends and how it classifies their replies.
 */
class OkHttpEndpointContractTests {

	private static final TaskId TASK = new TaskId("ticket", 3);

	private static final int RESULT_LIMIT_BYTES = 64;

	private static final long REPLY_SECONDS = 10;

	private final MockWebServer endpoint = new MockWebServer();

	private final OkHttpEndpointClient client = new OkHttpEndpointClient(
			new EndpointLimits(1_000, 500, RESULT_LIMIT_BYTES));

	@BeforeEach
	void start() throws IOException {
		this.endpoint.setDispatcher(new ContinuingDispatcher());
		this.endpoint.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.client.close();
		this.endpoint.shutdown();
	}

	private HostAddress address() {
		return new HostAddress("127.0.0.1", this.endpoint.getPort());
	}

	private PostReply post(HostAddress to) throws Exception {
		return this.client.post(new TaskPost(TASK, to, "fitting", "width", "payload", 5_000))
			.reply()
			.get(REPLY_SECONDS, TimeUnit.SECONDS);
	}

	private static MockResponse response(int status, String... headers) {
		MockResponse response = new MockResponse().setResponseCode(status);
		Stream.of(headers).forEach(response::addHeader);
		return response;
	}

	private static MockResponse result(String body) {
		return response(200, "Task-Id: ticket.3").setBody(body);
	}

	static Stream<Arguments> posts() {
		return Stream.of(
				Arguments.of("a result with busy slots", result("r").addHeader("Task-Busy-Slots", 5),
						new PostReply.Succeeded("r", 5)),
				Arguments.of("full", response(503, "Task-Id: ticket.3", "Task-Started: false", "Task-Reason: full"),
						new PostReply.Refused(RefusalReason.FULL, PostReply.UNKNOWN_COUNT)),
				Arguments.of("leaving",
						response(503, "Task-Id: ticket.3", "Task-Started: false", "Task-Reason: leaving"),
						new PostReply.Refused(RefusalReason.LEAVING, PostReply.UNKNOWN_COUNT)),
				Arguments.of("never fits",
						response(422, "Task-Id: ticket.3", "Task-Started: false", "Task-Reason: never-fits"),
						new PostReply.Refused(RefusalReason.NEVER_FITS, PostReply.UNKNOWN_COUNT)));
	}

	static Stream<Arguments> uncertainPosts() {
		return Stream.of(Arguments.of("a refusal without Task-Started", response(503)),
				Arguments.of("a refusal without an id", response(503, "Task-Started: false", "Task-Reason: full")),
				Arguments.of("a duplicate", response(409, "Task-Started: true", "Task-Reason: duplicate")),
				Arguments.of("a failure without Task-Started", response(500)),
				Arguments.of("another task's result", response(200, "Task-Id: ticket.4").setBody("r")),
				Arguments.of("a result without an id", response(200).setBody("r")),
				Arguments.of("a result that is too long", result("r".repeat(RESULT_LIMIT_BYTES + 1))),
				Arguments.of("a result of unknown length",
						response(200, "Task-Id: ticket.3").setChunkedBody("result", 2)),
				Arguments.of("a result cut short",
						result("result").setSocketPolicy(SocketPolicy.DISCONNECT_DURING_RESPONSE_BODY)),
				Arguments.of("no answer", new MockResponse().setSocketPolicy(SocketPolicy.DISCONNECT_AFTER_REQUEST)));
	}

	static Stream<Arguments> lookups() {
		return Stream.of(Arguments.of("running", 202, new LookupReply(LookupState.RUNNING, null)),
				Arguments.of("finished", 200, new LookupReply(LookupState.FINISHED, "r")),
				Arguments.of("failed", 200, new LookupReply(LookupState.FAILED, null)),
				Arguments.of("cancelled", 200, new LookupReply(LookupState.FAILED, null)),
				Arguments.of("unknown", 404, new LookupReply(LookupState.UNKNOWN, null)),
				Arguments.of("something else", 200, new LookupReply(LookupState.UNREACHABLE, null)));
	}

	@Nested
	class Posting {

		@ParameterizedTest(name = "{0}")
		@MethodSource("org.masticwick.daemon.connection.OkHttpEndpointContractTests#posts")
		void readsTheReply(String name, MockResponse response, PostReply expected) throws Exception {
			OkHttpEndpointContractTests.this.endpoint.enqueue(response);
			assertThat(post(address())).isEqualTo(expected);
		}

		@ParameterizedTest(name = "{0}")
		@MethodSource("org.masticwick.daemon.connection.OkHttpEndpointContractTests#uncertainPosts")
		void isUncertainWhenTheReplyDoesNotTellWhetherTheTaskStarted(String name, MockResponse response)
				throws Exception {
			OkHttpEndpointContractTests.this.endpoint.enqueue(response);
			assertThat(post(address())).isInstanceOf(PostReply.Uncertain.class);
			assertThat(OkHttpEndpointContractTests.this.endpoint.getRequestCount()).isEqualTo(1);
		}

		@Test
		void readsAFailureOfTheTask() throws Exception {
			OkHttpEndpointContractTests.this.endpoint.enqueue(response(500, "Task-Id: ticket.3", "Task-Started: true"));
			assertThat(post(address())).isInstanceOf(PostReply.Failed.class);
		}

		@Test
		void isNotSentWhenTheConnectionIsRefused() throws Exception {
			HostAddress closed;
			try (ServerSocket socket = new ServerSocket(0)) {
				closed = new HostAddress("127.0.0.1", socket.getLocalPort());
			}
			assertThat(post(closed)).isInstanceOf(PostReply.NotSent.class);
		}

		@Test
		void sendsTheRequestOfTheContract() throws Exception {
			OkHttpEndpointContractTests.this.endpoint.enqueue(result("r"));
			post(address());
			RecordedRequest request = OkHttpEndpointContractTests.this.endpoint.takeRequest();
			assertThat(request.getMethod() + " " + request.getPath()).isEqualTo("POST /tasks/ticket.3");
			assertThat(request.getHeader("Task-Service")).isEqualTo("fitting");
			assertThat(request.getHeader("Task-Kind")).isEqualTo("width");
			assertThat(request.getHeader("Task-Lease-Millis")).isEqualTo("5000");
			assertThat(request.getHeader("Expect")).isEqualTo("100-continue");
			assertThat(request.getBody().readUtf8()).isEqualTo("payload");
		}

	}

	@Nested
	class LookingUp {

		@ParameterizedTest
		@MethodSource("org.masticwick.daemon.connection.OkHttpEndpointContractTests#lookups")
		void readsTheState(String state, int status, LookupReply expected) throws Exception {
			MockResponse response = response(status, "Task-State: " + state);
			OkHttpEndpointContractTests.this.endpoint
				.enqueue((expected.result() != null) ? response.setBody(expected.result()) : response);
			assertThat(lookup()).isEqualTo(expected);
		}

		@Test
		void reportsAnEndpointThatDoesNotReplyAsUnreachable() throws Exception {
			OkHttpEndpointContractTests.this.endpoint
				.enqueue(new MockResponse().setSocketPolicy(SocketPolicy.NO_RESPONSE));
			assertThat(lookup().state()).isEqualTo(LookupState.UNREACHABLE);
		}

		@Test
		void opensItsOwnConnection() throws Exception {
			OkHttpEndpointContractTests.this.endpoint.enqueue(result("r"));
			OkHttpEndpointContractTests.this.endpoint.enqueue(response(404, "Task-State: unknown"));
			post(address());
			lookup();
			OkHttpEndpointContractTests.this.endpoint.takeRequest();
			assertThat(OkHttpEndpointContractTests.this.endpoint.takeRequest().getSequenceNumber()).isZero();
		}

		private LookupReply lookup() throws Exception {
			return OkHttpEndpointContractTests.this.client.lookup(address(), TASK).get(REPLY_SECONDS, TimeUnit.SECONDS);
		}

	}

	@Nested
	class Cancelling {

		@Test
		void sendsOneMessageForManyTasks() throws Exception {
			OkHttpEndpointContractTests.this.endpoint.enqueue(response(204));
			OkHttpEndpointContractTests.this.client.cancel(address(), List.of(TASK, new TaskId("other", 0)));
			RecordedRequest request = OkHttpEndpointContractTests.this.endpoint.takeRequest(REPLY_SECONDS,
					TimeUnit.SECONDS);
			assertThat(request).isNotNull();
			assertThat(request.getMethod() + " " + request.getPath()).isEqualTo("DELETE /tasks");
			assertThat(request.getBody().readUtf8()).isEqualTo("[\"ticket.3\",\"other.0\"]");
		}

	}

	/**
	 * Confirms requests that expect it, as HTTP/1.1 servers do, and answers them with the
	 * enqueued responses.
	 */
	private static final class ContinuingDispatcher extends QueueDispatcher {

		@Override
		public MockResponse peek() {
			return super.peek().clone().setSocketPolicy(SocketPolicy.EXPECT_CONTINUE);
		}

	}

}
