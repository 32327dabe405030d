package org.masticwick.fleet.connection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.HostAddress;
import org.masticwick.fleet.request.CallerExchange;
import org.masticwick.fleet.request.CallerReply;
import org.masticwick.fleet.request.CallerRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallerServer}.
 */
class CallerServerTests {

	private static final String IP = "127.0.0.1";

	private final EventLoopGroup loops = new NioEventLoopGroup(1);

	@AfterEach
	void stopLoops() {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private HttpReply call(BiConsumer<CallerRequest, CallerExchange> handler, String timeout) {
		HostAddress address = new HostAddress(IP, freePort());
		new CallerServer(this.loops.next(), "wait-millis", handler).listen(address);
		HttpCall call = new HttpCall("POST", "/q/j", Map.of("wait-millis", timeout), new byte[0], 5_000);
		return new PooledHttpClient(this.loops.next(), 1_000, 1).call(address, call)
			.orTimeout(10, TimeUnit.SECONDS)
			.join();
	}

	private static int freePort() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Test
	void answersARequestWhoseHandlingFailsAsUncertain() {
		HttpReply reply = call((request, exchange) -> {
			throw new IllegalStateException("broken");
		}, "1");
		assertThat(reply.status()).isEqualTo(502);
	}

	@ParameterizedTest
	@CsvSource({ "1500, 1500", "1500.7, 1500", "-3, 0", "x, 0", "NaN, 0", "1e300, 3600000", "Infinity, 3600000" })
	void readsTheTimeoutOfTheCaller(String header, String timeoutMillis) {
		HttpReply reply = call((request, exchange) -> exchange
			.reply(new CallerReply(200, Long.toString(request.timeoutMillis()).getBytes(StandardCharsets.UTF_8), 0)),
				header);
		assertThat(new String(reply.body(), StandardCharsets.UTF_8)).isEqualTo(timeoutMillis);
	}

}
