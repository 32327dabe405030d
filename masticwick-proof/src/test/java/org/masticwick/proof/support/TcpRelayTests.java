package org.masticwick.proof.support;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link TcpRelay}.
 */
class TcpRelayTests {

	private static final int SILENCE_MILLIS = 150;

	private static final int TIMEOUT_MILLIS = 10_000;

	private ServerSocket server;

	private TcpRelay relay;

	@BeforeEach
	void open() throws IOException {
		this.server = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
		this.relay = TcpRelay.to(new HostAddress("127.0.0.1", this.server.getLocalPort()));
	}

	@AfterEach
	void close() throws IOException {
		this.relay.close();
		this.server.close();
	}

	@Test
	void forwardsBothDirectionsAndCloses() throws IOException {
		try (Socket client = connect(); Socket accepted = this.server.accept()) {
			assertForwards(client, accepted);
			assertForwards(accepted, client);
			client.close();
			assertThat(accepted.getInputStream().read()).isEqualTo(-1);
		}
	}

	@ParameterizedTest
	@EnumSource(names = { "SWALLOW_TO_TARGET", "SWALLOW_FROM_TARGET" })
	void swallowsOneDirection(TcpRelay.Mode mode) throws IOException {
		try (Socket client = connect(); Socket accepted = this.server.accept()) {
			assertForwards(client, accepted);
			this.relay.setMode(mode);
			boolean toTarget = (mode == TcpRelay.Mode.SWALLOW_TO_TARGET);
			assertSwallows(toTarget ? client : accepted, toTarget ? accepted : client);
			assertForwards(toTarget ? accepted : client, toTarget ? client : accepted);
		}
	}

	@Test
	void blackholesOpenConnectionsOnly() throws IOException {
		try (Socket client = connect(); Socket accepted = this.server.accept()) {
			assertForwards(client, accepted);
			this.relay.silenceExisting();
			assertSwallows(client, accepted);
			assertSwallows(accepted, client);
			try (Socket newClient = connect(); Socket newAccepted = this.server.accept()) {
				assertForwards(newClient, newAccepted);
			}
		}
	}

	@Test
	void blackholesNewConnections() throws IOException {
		try (Socket client = connect(); Socket accepted = this.server.accept()) {
			assertForwards(client, accepted);
			this.relay.setMode(TcpRelay.Mode.BLACKHOLE_NEW);
			this.server.setSoTimeout(SILENCE_MILLIS);
			try (Socket newClient = connect()) {
				newClient.getOutputStream().write(1);
				assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> this.server.accept());
			}
			assertForwards(client, accepted);
		}
	}

	@Test
	void closesConnections() throws IOException {
		try (Socket client = connect(); Socket accepted = this.server.accept()) {
			assertForwards(client, accepted);
			this.relay.setMode(TcpRelay.Mode.DROP);
			assertClosed(client);
			assertClosed(accepted);
			try (Socket newClient = connect()) {
				assertClosed(newClient);
			}
		}
	}

	@Test
	void delaysBytesInOrder() throws IOException {
		try (Socket client = connect(); Socket accepted = this.server.accept()) {
			assertForwards(client, accepted);
			this.relay.setDelay(SILENCE_MILLIS);
			long startNanos = System.nanoTime();
			client.getOutputStream().write(1);
			assertThat(accepted.getInputStream().read()).isEqualTo(1);
			assertThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(SILENCE_MILLIS * 1_000_000L);
		}
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket(this.relay.address().ip(), this.relay.address().port());
		socket.setSoTimeout(TIMEOUT_MILLIS);
		return socket;
	}

	private static void assertForwards(Socket from, Socket to) throws IOException {
		to.setSoTimeout(TIMEOUT_MILLIS);
		from.getOutputStream().write(7);
		assertThat(to.getInputStream().read()).isEqualTo(7);
	}

	private static void assertSwallows(Socket from, Socket to) throws IOException {
		to.setSoTimeout(SILENCE_MILLIS);
		from.getOutputStream().write(9);
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> to.getInputStream().read());
	}

	private static void assertClosed(Socket socket) {
		assertThat(isClosed(socket)).isTrue();
	}

	private static boolean isClosed(Socket socket) {
		try {
			return socket.getInputStream().read() == -1;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			return true;
		}
	}

}
