package org.masticwick.wire.internal;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.NettyPeerTransport;
import org.masticwick.wire.PeerErrorCodes;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerTransportSettings;
import org.masticwick.wire.internal.Envelope.Role;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how {@link NettyPeerTransport} handles the handshake of a peer and bytes that it
 * can't decode.
 */
class HandshakeTests {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private static final EntryHost PEER_HOST = new EntryHost("south", new HostAddress(LOOPBACK, 9),
			new Incarnation(1, 2));

	private static final EntryHost LOCAL_HOST = new EntryHost("north", new HostAddress(LOOPBACK, 10),
			new Incarnation(3, 4));

	private final AtomicReference<EntryHost> identity = new AtomicReference<>(LOCAL_HOST);

	private NettyPeerTransport transport;

	private Socket socket;

	private DataOutputStream out;

	private DataInputStream in;

	@BeforeEach
	void connect() throws IOException {
		this.transport = NettyPeerTransport.bind(PeerTransportSettings.of(LOOPBACK, 0), this.identity::get,
				(message, from) -> CompletableFuture.completedFuture(new PeerMessage.InheritAnswer(true)));
		this.socket = new Socket(LOOPBACK, this.transport.localAddress().port());
		this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		this.out = new DataOutputStream(this.socket.getOutputStream());
		this.in = new DataInputStream(this.socket.getInputStream());
	}

	@AfterEach
	void close() throws IOException {
		this.socket.close();
		this.transport.close();
	}

	private void write(byte[] bytes) throws IOException {
		this.out.writeInt(bytes.length);
		this.out.write(bytes);
	}

	private void writeRequest(long correlationId, PeerMessage message) throws IOException {
		write(MessageCodec.encode(Envelope.of(Role.REQUEST, correlationId, message)));
	}

	private Envelope readMessage() throws IOException {
		byte[] bytes = new byte[this.in.readInt()];
		this.in.readFully(bytes);
		return MessageCodec.decode(bytes);
	}

	private void assertClosed() throws IOException {
		assertThat(this.in.read()).isEqualTo(-1);
	}

	@ParameterizedTest
	@CsvSource({ "1, 1", "9, 1" })
	void answersCompatiblePeersWithHello(int protocolVersion, int minProtocolVersion) throws IOException {
		writeRequest(5, new PeerMessage.Hello(PEER_HOST, protocolVersion, minProtocolVersion));
		Envelope answer = readMessage();
		assertThat(answer.correlationId()).isEqualTo(5);
		assertThat(answer.message()).isEqualTo(new PeerMessage.Hello(LOCAL_HOST, 1, 1));
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "9, 2" })
	void refusesIncompatiblePeersWithTheReason(int protocolVersion, int minProtocolVersion) throws IOException {
		writeRequest(5, new PeerMessage.Hello(PEER_HOST, protocolVersion, minProtocolVersion));
		assertThat(readMessage().message()).isInstanceOfSatisfying(PeerMessage.ErrorAnswer.class,
				(error) -> assertThat(error.code()).isEqualTo(PeerErrorCodes.INCOMPATIBLE_PROTOCOL));
		assertClosed();
	}

	@Test
	void refusesPeersUntilItHasAnIdentity() throws IOException {
		this.identity.set(null);
		writeRequest(5, new PeerMessage.Hello(PEER_HOST, 1, 1));
		assertThat(readMessage().message()).isInstanceOfSatisfying(PeerMessage.ErrorAnswer.class,
				(error) -> assertThat(error.code()).isEqualTo(PeerErrorCodes.STARTING));
		assertClosed();
	}

	@Test
	void closesOnAMessageBeforeHello() throws IOException {
		writeRequest(5, new PeerMessage.FetchRecords(0, 0, 1));
		assertClosed();
	}

	@ParameterizedTest
	@CsvSource({ "2147483647", "-1", "65537" })
	void closesOnALengthAboveTheLimitOfTheFirstMessage(int lengthBytes) throws IOException {
		this.out.writeInt(lengthBytes);
		this.out.write(new byte[] { (byte) 0x94, 1, 1 });
		assertClosed();
	}

	@Test
	void closesOnInvalidBytes() throws IOException {
		write(new byte[] { (byte) 0xc1, 1, 2, 3 });
		assertClosed();
	}

	@ParameterizedTest
	@CsvSource({ "99, unknown-message", "6, malformed-message" })
	void answersRequestsThatItCannotDecode(byte kind, String code) throws IOException {
		writeRequest(5, new PeerMessage.Hello(PEER_HOST, 1, 1));
		readMessage();
		write(new byte[] { (byte) 0x94, kind, 1, 77, (byte) 0x80 });
		Envelope answer = readMessage();
		assertThat(answer.correlationId()).isEqualTo(77);
		assertThat(answer.message()).isInstanceOfSatisfying(PeerMessage.ErrorAnswer.class,
				(error) -> assertThat(error.code()).isEqualTo(code));
	}

}
