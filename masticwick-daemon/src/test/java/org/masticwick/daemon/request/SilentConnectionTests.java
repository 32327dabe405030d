package org.masticwick.daemon.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.StartOutcome;
import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient;
import org.masticwick.daemon.connection.EndpointClient.PostReply;
import org.masticwick.daemon.connection.EndpointClient.TaskPost;
import org.masticwick.daemon.connection.EndpointLimits;
import org.masticwick.daemon.connection.OkHttpEndpointClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests that the run of a task whose post went into a connection that carries no bytes
 * any more ends as not started, and that its payload is never written. Such a run ended
 * as lost, which failed its job with "the endpoint has no record of the task".
 */
class SilentConnectionTests {

	private static final String PAYLOAD = "the payload";

	private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

	private static final String UNKNOWN = "HTTP/1.1 404 x\r\nTask-State: unknown\r\nContent-Length: 0\r\n\r\n";

	private static final long REPLY_TIMEOUT_MILLIS = 300;

	private static final long MAX_WAIT_SECONDS = 10;

	private static final int MAX_WAIT_MILLIS = 10_000;

	private final EndpointClient client = new OkHttpEndpointClient(new EndpointLimits(1_000, 1_000, 1_000));

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private ServerSocket server;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout(MAX_WAIT_MILLIS);
	}

	@AfterEach
	void close() throws IOException {
		this.timer.shutdownNow();
		this.client.close();
		this.server.close();
	}

	private TaskPost post(int index, String payload) {
		return new TaskPost(new TaskId("ticket", index), new HostAddress("127.0.0.1", this.server.getLocalPort()), "s",
				"k", payload, 60_000);
	}

	private CompletableFuture<TaskRun.Result> run(int index, String payload) {
		CompletableFuture<TaskRun.Result> result = new CompletableFuture<>();
		TaskRun.Options options = new TaskRun.Options(true, REPLY_TIMEOUT_MILLIS, REPLY_TIMEOUT_MILLIS);
		new TaskRun(this.client, this.timer, post(index, payload), options, () -> {
		}, result::complete).start();
		return result;
	}

	private static String readUntil(Socket connection, String end) throws IOException {
		connection.setSoTimeout(MAX_WAIT_MILLIS);
		StringBuilder text = new StringBuilder();
		while (!text.toString().endsWith(end)) {
			int next = connection.getInputStream().read();
			assertThat(next).as(text.toString()).isNotNegative();
			text.append((char) next);
		}
		return text.toString();
	}

	private static void write(Socket connection, String text) throws IOException {
		connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String readToEnd(Socket connection) throws IOException {
		connection.setSoTimeout(MAX_WAIT_MILLIS);
		InputStream in = connection.getInputStream();
		return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
	}

	/**
	 * Answers the look-up of a task, which comes on a connection of its own, as unknown.
	 */
	private void answerLookUpInBackground() {
		CompletableFuture.runAsync(() -> {
			try (Socket connection = this.server.accept()) {
				readUntil(connection, "\r\n\r\n");
				write(connection, UNKNOWN);
			}
			catch (IOException ex) {
				// No look-up came before the test closed the server socket.
			}
		});
	}

	private Socket acceptAndAnswer(int index) throws IOException {
		Socket connection = this.server.accept();
		if (readUntil(connection, "\r\n\r\n").contains("Expect: 100-continue")) {
			write(connection, CONTINUE);
		}
		readUntil(connection, PAYLOAD);
		write(connection, "HTTP/1.1 200 OK\r\nTask-Id: ticket." + index + "\r\nContent-Length: 1\r\n\r\nr");
		return connection;
	}

	@Nested
	class Runs {

		@Test
		void endAsNotStartedWhenAnIdleConnectionWentSilent() throws Exception {
			CompletableFuture<TaskRun.Result> first = run(0, PAYLOAD);
			try (Socket silent = acceptAndAnswer(0)) {
				assertThat(first.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS).kind()).isEqualTo(StartOutcome.Kind.SUCCEEDED);
				await().pollDelay(100, TimeUnit.MILLISECONDS).until(() -> true);
				answerLookUpInBackground();
				TaskRun.Result second = run(1, PAYLOAD).get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
				assertThat(second.kind()).isEqualTo(StartOutcome.Kind.NOT_CONNECTED);
				assertThat(readToEnd(silent)).contains("ticket.1").doesNotContain(PAYLOAD);
			}
		}

		@Test
		void endAsNotStartedWhenANewConnectionIsNeverRead() throws Exception {
			CompletableFuture<TaskRun.Result> run = run(0, PAYLOAD);
			try (Socket silent = this.accept()) {
				answerLookUpInBackground();
				assertThat(run.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS).kind())
					.isEqualTo(StartOutcome.Kind.NOT_CONNECTED);
				assertThat(readToEnd(silent)).doesNotContain(PAYLOAD);
			}
		}

		@Test
		void areLostWhenTheEndpointMayHaveReadThePayload() throws Exception {
			CompletableFuture<TaskRun.Result> run = run(0, PAYLOAD);
			try (Socket connection = this.accept()) {
				readUntil(connection, "\r\n\r\n");
				write(connection, CONTINUE);
				readUntil(connection, PAYLOAD);
				answerLookUpInBackground();
				assertThat(run.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS).kind()).isEqualTo(StartOutcome.Kind.LOST);
			}
		}

		@Test
		void areLostWhenARequestWithoutPayloadMayHaveBeenRead() throws Exception {
			CompletableFuture<TaskRun.Result> run = run(0, "");
			try (Socket connection = this.accept()) {
				assertThat(readUntil(connection, "\r\n\r\n")).doesNotContain("Expect");
				answerLookUpInBackground();
				assertThat(run.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS).kind()).isEqualTo(StartOutcome.Kind.LOST);
			}
		}

		private Socket accept() throws IOException {
			return SilentConnectionTests.this.server.accept();
		}

	}

	@Nested
	class Withdrawals {

		@Test
		void areRefusedOnceThePayloadMayHaveBeenWritten() throws Exception {
			EndpointClient.PendingPost post = SilentConnectionTests.this.client.post(post(0, PAYLOAD));
			try (Socket connection = SilentConnectionTests.this.server.accept()) {
				readUntil(connection, "\r\n\r\n");
				write(connection, CONTINUE);
				readUntil(connection, PAYLOAD);
				assertThat(post.withdraw()).isFalse();
				assertThat(post.reply()).isNotDone();
				write(connection, "HTTP/1.1 200 OK\r\nTask-Id: ticket.0\r\nContent-Length: 1\r\n\r\nr");
				assertThat(post.reply().get(MAX_WAIT_SECONDS, TimeUnit.SECONDS))
					.isEqualTo(new PostReply.Succeeded("r", PostReply.UNKNOWN_COUNT));
			}
		}

		@Test
		void keepThePayloadFromALateConfirmation() throws Exception {
			EndpointClient.PendingPost post = SilentConnectionTests.this.client.post(post(0, PAYLOAD));
			try (Socket connection = SilentConnectionTests.this.server.accept()) {
				readUntil(connection, "\r\n\r\n");
				assertThat(post.withdraw()).isTrue();
				assertThat(post.reply().join()).isInstanceOf(PostReply.NotSent.class);
				write(connection, CONTINUE);
				assertThat(readToEnd(connection)).isEmpty();
			}
		}

		@Test
		void followFromAnotherReplyInPlaceOfTheConfirmation() throws Exception {
			EndpointClient.PendingPost post = SilentConnectionTests.this.client.post(post(0, PAYLOAD));
			try (Socket connection = SilentConnectionTests.this.server.accept()) {
				readUntil(connection, "\r\n\r\n");
				write(connection, "HTTP/1.1 200 OK\r\nTask-Id: ticket.9\r\nContent-Length: 1\r\n\r\nr");
				assertThat(post.reply().get(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isInstanceOf(PostReply.NotSent.class);
				assertThat(readToEnd(connection)).isEmpty();
			}
		}

	}

}
