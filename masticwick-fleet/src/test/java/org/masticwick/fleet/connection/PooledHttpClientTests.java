package org.masticwick.fleet.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.request.CallerReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link PooledHttpClient} looks up no names, which would block the event
 * loop.
 */
class PooledHttpClientTests {

	private final EventLoopGroup loops = new NioEventLoopGroup(1);

	@AfterEach
	void stopLoops() {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private int listen() throws IOException {
		int port;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			port = socket.getLocalPort();
		}
		new CallerServer(this.loops.next(), "", (request, exchange) -> exchange.reply(CallerReply.of(200)))
			.listen(new HostAddress("127.0.0.1", port));
		return port;
	}

	private CompletableFuture<HttpReply> call(String ip, int port) {
		return new PooledHttpClient(this.loops.next(), 1_000, 1)
			.call(new HostAddress(ip, port), new HttpCall("GET", "/", Map.of(), new byte[0], 5_000))
			.orTimeout(10, TimeUnit.SECONDS);
	}

	@ParameterizedTest
	@ValueSource(strings = { "localhost", "host.example", "127.0.0", "x\n" })
	void callsToNamesAreNotSent(String name) throws IOException {
		int port = listen();
		assertThat(call("127.0.0.1", port).join().status()).isEqualTo(200);
		Throwable error = call(name, port).handle((reply, failure) -> CallException.unwrap(failure)).join();
		assertThat(error)
			.isInstanceOfSatisfying(CallException.class,
					(callException) -> assertThat(callException.code()).isEqualTo(CallException.Code.NOT_SENT))
			.hasMessageContaining("not a numeric IP address");
	}

}
