package org.masticwick.daemon.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient.PendingPost;
import org.masticwick.daemon.connection.EndpointClient.PostReply;
import org.masticwick.daemon.connection.EndpointClient.TaskPost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link StaleConnectionGuard}: a post on an idle connection that the endpoint
 * has closed must fail as not sent, not as uncertain.
 */
class StaleConnectionGuardTests {

	private static final Duration IDLE_TIME = Duration.ofSeconds(1);

	private static final long REPLY_SECONDS = 10;

	private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

	private static final String REFUSAL = """
			HTTP/1.1 503 x\r
			Task-Id: ticket.0\r
			Task-Started: false\r
			Task-Reason: full\r
			Content-Length: 0\r
			\r
			""";

	@Test
	void sendsNothingOnAConnectionThatTheEndpointHasClosed() throws Exception {
		try (EndpointClient client = new OkHttpEndpointClient(new EndpointLimits(1_000, 1_000, 1_000));
				ServerSocket server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
			HostAddress endpoint = new HostAddress("127.0.0.1", server.getLocalPort());
			PendingPost first = client.post(post(endpoint, 0));
			refuse(server, first);
			await().pollDelay(IDLE_TIME).until(() -> true);
			PostReply second = client.post(post(endpoint, 1)).reply().get(REPLY_SECONDS, TimeUnit.SECONDS);
			assertThat(second).isInstanceOf(PostReply.NotSent.class);
		}
	}

	private static void refuse(ServerSocket server, PendingPost post) throws Exception {
		try (Socket connection = server.accept()) {
			readRequest(connection);
			connection.getOutputStream().write(REFUSAL.getBytes(StandardCharsets.US_ASCII));
			assertThat(post.reply().get(REPLY_SECONDS, TimeUnit.SECONDS)).isInstanceOf(PostReply.Refused.class);
		}
	}

	private static void readRequest(Socket connection) throws IOException {
		StringBuilder request = new StringBuilder();
		while (!request.toString().endsWith("\r\n\r\nx")) {
			request.append((char) connection.getInputStream().read());
			if (request.toString().endsWith("\r\n\r\n")) {
				connection.getOutputStream().write(CONTINUE.getBytes(StandardCharsets.US_ASCII));
			}
		}
	}

	private static TaskPost post(HostAddress endpoint, int index) {
		return new TaskPost(new TaskId("ticket", index), endpoint, "fitting", "width-check", "x", 10_000);
	}

}
