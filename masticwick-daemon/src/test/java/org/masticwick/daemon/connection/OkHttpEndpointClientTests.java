package org.masticwick.daemon.connection;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient.PostReply;
import org.masticwick.daemon.connection.EndpointClient.TaskPost;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link OkHttpEndpointClient} sends a post exactly once and classifies its
 * reply, against a socket that writes arbitrary replies. Guards against OkHttp's own
 * retries and redirects, and against replies to another task on a kept-alive connection.
 */
class OkHttpEndpointClientTests {

	private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

	private static final TaskId TASK = new TaskId("ticket", 0);

	private final OkHttpEndpointClient client = new OkHttpEndpointClient(new EndpointLimits(1000, 1000, 1000));

	private final AtomicInteger postCount = new AtomicInteger();

	private ServerSocket server;

	private volatile String replyText;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		Thread thread = new Thread(this::serve);
		thread.setDaemon(true);
		thread.start();
	}

	@AfterEach
	void close() throws IOException {
		this.client.close();
		this.server.close();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					the task's own refusal            | 503 Full | Task-Started: false;Task-Reason: full;Task-Id: ticket.0 | Refused
					a copy of another task's refusal  | 503 Full | Task-Started: false;Task-Reason: full;Task-Id: ticket.9 | Uncertain
					a refusal that names no task      | 503 Full | Task-Started: false;Task-Reason: full | Uncertain
					a copy of another task's failure  | 500 Bad  | Task-Started: true;Task-Id: ticket.9  | Uncertain
					the task's own failure            | 500 Bad  | Task-Started: true;Task-Id: ticket.0  | Failed
					a result for another task         | 200 OK   | Task-Id: ticket.9 | Uncertain
					an error that asks for a repeat   | 503 Busy | Retry-After: 0    | Uncertain
					a timeout that asks for a repeat  | 408 Late | Retry-After: 0    | Uncertain
					a redirection                     | 307 Move | Location: /tasks/other | Uncertain
					""")
	void sendsOnceAndClassifiesTheReply(String name, String status, String headers, String expected) throws Exception {
		this.replyText = "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + headers.replace(";", "\r\n") + "\r\n\r\n";
		HostAddress endpoint = new HostAddress("127.0.0.1", this.server.getLocalPort());
		PostReply reply = this.client.post(new TaskPost(TASK, endpoint, "s", "k", "p", 1000))
			.reply()
			.get(5, TimeUnit.SECONDS);
		assertThat(reply.getClass().getSimpleName()).as(name).isEqualTo(expected);
		assertThat(this.postCount).as(name).hasValue(1);
	}

	private void serve() {
		while (!this.server.isClosed()) {
			try (Socket socket = this.server.accept()) {
				answerAll(socket);
			}
			catch (IOException ex) {
				// The client closed the connection, or the test closed the server socket.
			}
		}
	}

	private void answerAll(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		StringBuilder head = new StringBuilder();
		for (int next = in.read(); next >= 0; next = in.read()) {
			head.append((char) next);
			if (head.toString().endsWith("\r\n\r\n")) {
				this.postCount.incrementAndGet();
				if (head.toString().contains("Expect: 100-continue")) {
					socket.getOutputStream().write(CONTINUE.getBytes(StandardCharsets.US_ASCII));
				}
				in.read();
				socket.getOutputStream().write(this.replyText.getBytes(StandardCharsets.US_ASCII));
				head.setLength(0);
			}
		}
	}

}
