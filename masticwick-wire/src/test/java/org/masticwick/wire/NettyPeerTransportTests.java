package org.masticwick.wire;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link NettyPeerTransport}.
 */
class NettyPeerTransportTests {

	private static final long SHORT_IDLE_TIMEOUT_MILLIS = 300;

	private final List<AutoCloseable> resources = new ArrayList<>();

	@AfterEach
	void closeAll() throws Exception {
		for (AutoCloseable resource : this.resources) {
			resource.close();
		}
	}

	private TestPeer peer(PeerTransportSettings settings, Function<PeerMessage, CompletionStage<PeerMessage>> handler) {
		TestPeer peer = new TestPeer(settings, 1, handler);
		this.resources.add(peer);
		return peer;
	}

	private TestPeer peer() {
		return peer(TestPeer.settings(), TestPeer::echo);
	}

	private Relay relay(TestPeer target) throws IOException {
		Relay relay = new Relay(target.address());
		this.resources.add(relay);
		return relay;
	}

	private static PeerException failure(CompletableFuture<PeerMessage> call) {
		CompletionException error = catchThrowableOfType(CompletionException.class, call::join);
		assertThat(error).hasCauseInstanceOf(PeerException.class);
		assertThat(((PeerException) error.getCause()).errorCode()).isEqualTo(ErrorCode.PEER_UNAVAILABLE);
		return (PeerException) error.getCause();
	}

	private static PeerMessage.ErrorAnswer errorAnswer(CompletableFuture<PeerMessage> call) {
		PeerMessage answer = call.join();
		assertThat(answer).isInstanceOf(PeerMessage.ErrorAnswer.class);
		return (PeerMessage.ErrorAnswer) answer;
	}

	@Nested
	class Calls {

		@ParameterizedTest
		@ValueSource(ints = { 0, 1, 100_000, 7 * 1024 * 1024 })
		void returnBodiesOfAnySize(int bodyBytes) {
			PeerMessage answer = peer().transport().call(peer().address(), TestPeer.forward(bodyBytes)).join();
			assertThat(((PeerMessage.ForwardAnswer) answer).body()).hasSize(bodyBytes);
		}

		@Test
		void receiveTheirOwnAnswersInAnyOrder() {
			List<CompletableFuture<PeerMessage>> answers = IntStream.range(0, 10)
				.mapToObj((index) -> new CompletableFuture<PeerMessage>())
				.toList();
			TestPeer server = peer(TestPeer.settings(), (message) -> (message instanceof PeerMessage.FetchRecords fetch)
					? answers.get((int) fetch.fromOffset()) : null);
			TestPeer client = peer();
			List<CompletableFuture<PeerMessage>> calls = IntStream.range(0, 10)
				.mapToObj(
						(index) -> client.transport().call(server.address(), new PeerMessage.FetchRecords(index, 0, 1)))
				.toList();
			IntStream.range(0, 10)
				.map((index) -> 9 - index)
				.forEach((index) -> answers.get(index).complete(new PeerMessage.Records(List.of(), null, index)));
			assertThat(calls).extracting(CompletableFuture::join)
				.extracting((answer) -> ((PeerMessage.Records) answer).snapshotOffset())
				.containsExactly(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L);
		}

		@Test
		void withoutAnswerReturnUnknownMessage() {
			assertThat(
					errorAnswer(peer().transport().call(peer().address(), new PeerMessage.InheritAnswer(true))).code())
				.isEqualTo(PeerErrorCodes.UNKNOWN_MESSAGE);
		}

		@Test
		void thatFailInTheHandlerReturnInternalError() {
			TestPeer server = peer(TestPeer.settings(), (message) -> {
				throw new IllegalStateException("broken");
			});
			assertThat(errorAnswer(peer().transport().call(server.address(), TestPeer.forward(1))).code())
				.isEqualTo(PeerErrorCodes.INTERNAL);
		}

		@Test
		void aboveTheSizeLimitAreNotSent() {
			PeerException error = failure(peer().transport().call(peer().address(), TestPeer.forward(8 * 1024 * 1024)));
			assertThat(error.mayHaveBeenSent()).isFalse();
		}

		@Test
		void areCountedAsTraffic() {
			TestPeer client = peer();
			TestPeer server = peer();
			client.transport().call(server.address(), TestPeer.forward(1_000)).join();
			TrafficCounters.Traffic sent = client.transport().traffic().snapshot().get("Forward");
			assertThat(sent.outCount()).isOne();
			assertThat(sent.outBytes()).isBetween(1_000L, 1_060L)
				.isEqualTo(server.transport().traffic().snapshot().get("Forward").inBytes());
		}

	}

	@Nested
	class IdleChecksOfPendingCalls {

		private PeerTransportSettings settings() {
			return TestPeer.settings()
				.withIdleTimeoutMillis(SHORT_IDLE_TIMEOUT_MILLIS)
				.withIdleCheck(PeerTransportSettings.IdleCheck.PENDING_CALLS);
		}

		@Test
		void sendNoPingWithoutACall() throws InterruptedException {
			TestPeer client = peer(settings(), TestPeer::echo);
			client.transport().call(peer(settings(), TestPeer::echo).address(), TestPeer.forward(1)).join();
			Thread.sleep(4 * SHORT_IDLE_TIMEOUT_MILLIS);
			assertThat(client.transport().traffic().snapshot()).doesNotContainKey("Ping");
		}

		@Test
		void failACallOnASilentConnection() throws IOException {
			TestPeer client = peer(settings(), TestPeer::echo);
			Relay relay = relay(peer(settings(), TestPeer::echo));
			client.transport().call(relay.address(), TestPeer.forward(1)).join();
			relay.discardBytesOfOpenConnections();
			PeerException error = failure(client.transport().call(relay.address(), TestPeer.forward(1)));
			assertThat(error.mayHaveBeenSent()).isTrue();
		}

		@Test
		void allowAnAnswerThatTakesLong() {
			CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
			TestPeer server = peer(settings(), (message) -> (message instanceof PeerMessage.Forward) ? answer : null);
			CompletableFuture<PeerMessage> call = peer(settings(), TestPeer::echo).transport()
				.call(server.address(), TestPeer.forward(1));
			answer.completeOnTimeout(new PeerMessage.InheritAnswer(true), 4 * SHORT_IDLE_TIMEOUT_MILLIS,
					TimeUnit.MILLISECONDS);
			assertThat(call.join()).isEqualTo(new PeerMessage.InheritAnswer(true));
		}

	}

	@Nested
	class Reconnects {

		@Test
		void replaceAnOldConnectionWithoutReportingALoss() throws InterruptedException {
			TestPeer client = peer(TestPeer.settings().withIdleTimeoutMillis(SHORT_IDLE_TIMEOUT_MILLIS),
					TestPeer::echo);
			TestPeer server = peer();
			client.transport().call(server.address(), TestPeer.forward(1)).join();
			client.transport().reconnect(server.address());
			assertThat(helloCount(server)).isOne();
			Thread.sleep(2 * SHORT_IDLE_TIMEOUT_MILLIS);
			client.transport().reconnect(server.address());
			await().until(() -> {
				client.transport().send(server.address(), new PeerMessage.InheritAnswer(true));
				return helloCount(server) == 2;
			});
		}

		private long helloCount(TestPeer server) {
			return server.transport().traffic().snapshot().get("Hello").inCount();
		}

	}

	@Nested
	class Heartbeats {

		@Test
		void haveTheSenderOfTheConnection() {
			TestPeer client = peer();
			TestPeer server = peer();
			PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(client.identity.get(), 1, true,
					PeerStatus.NONE);
			client.transport().send(server.address(), heartbeat);
			await().until(() -> server.receivedMessages.contains(heartbeat));
		}

		@Test
		void areFollowedByANotificationWhenThePeerCloses() {
			TestPeer client = peer();
			TestPeer server = peer();
			client.transport().call(server.address(), TestPeer.forward(1)).join();
			server.close();
			await().until(() -> client.disconnectedPeers.contains(server.address()));
		}

	}

	@Nested
	class LostPeers {

		@Test
		void thatDoNotListenReceiveNoByte() {
			TestPeer stoppedPeer = peer();
			stoppedPeer.close();
			TestPeer client = peer();
			assertThat(failure(client.transport().call(stoppedPeer.address(), TestPeer.forward(1))).mayHaveBeenSent())
				.isFalse();
			assertThat(failure(client.transport().call(stoppedPeer.address(), TestPeer.forward(1))).mayHaveBeenSent())
				.isFalse();
		}

		@Test
		void failPendingCalls() {
			TestPeer server = peer(TestPeer.settings(), (message) -> new CompletableFuture<>());
			CompletableFuture<PeerMessage> call = peer().transport().call(server.address(), TestPeer.forward(1));
			await().until(() -> server.hasReceived(PeerMessage.Forward.class));
			server.close();
			assertThat(failure(call).mayHaveBeenSent()).isTrue();
		}

		@Test
		void thatRestartAreReconnected() {
			TestPeer originalPeer = peer();
			TestPeer client = peer();
			HostAddress address = originalPeer.address();
			client.transport().call(address, TestPeer.forward(1)).join();
			originalPeer.close();
			TestPeer restartedPeer = new TestPeer(PeerTransportSettings.of(TestPeer.LOOPBACK, address.port()), 2,
					TestPeer::echo);
			NettyPeerTransportTests.this.resources.add(restartedPeer);
			await().ignoreExceptions()
				.until(() -> client.transport().call(address, TestPeer.forward(1)).join() != null);
			assertThat(client.receivedMessages).contains(new PeerMessage.Hello(restartedPeer.identity.get(),
					ProtocolVersion.CURRENT, ProtocolVersion.OLDEST));
		}

	}

	/**
	 * The idle timeout runs on a clock of the test, as a busy machine may take longer
	 * than a short timeout for the handshake or for a single message.
	 */
	@Nested
	class UnresponsiveConnections {

		/** More than a relay takes in that does not forward, which is some 40 KB. */
		private static final int FILLING_BYTES = 128 * 1024;

		private static final int PING_COUNT = 4;

		private final AtomicLong nowNanos = new AtomicLong();

		private TestPeer peer(PeerTransportSettings settings,
				Function<PeerMessage, CompletionStage<PeerMessage>> handler) {
			TestPeer peer = new TestPeer(settings, 1, handler, this.nowNanos::get);
			NettyPeerTransportTests.this.resources.add(peer);
			return peer;
		}

		private TestPeer client() {
			return peer(TestPeer.settings().withIdleTimeoutMillis(SHORT_IDLE_TIMEOUT_MILLIS), TestPeer::echo);
		}

		private void advanceHalfAnIdleTimeout() {
			this.nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(SHORT_IDLE_TIMEOUT_MILLIS / 2));
		}

		@Test
		void failTheirCallsAndAreReplaced() throws IOException {
			CompletableFuture<PeerMessage> missingAnswer = new CompletableFuture<>();
			TestPeer server = peer(TestPeer.settings(), (message) -> (message instanceof PeerMessage.FetchRecords)
					? missingAnswer : TestPeer.echo(message));
			TestPeer client = client();
			Relay relay = relay(server);
			CompletableFuture<PeerMessage> call = client.transport()
				.call(relay.address(), new PeerMessage.FetchRecords(0, 0, 1));
			await().until(() -> server.hasReceived(PeerMessage.FetchRecords.class));
			relay.discardBytesOfOpenConnections();
			advanceHalfAnIdleTimeout();
			await().until(() -> messageCount(client, "Ping", TrafficCounters.Traffic::outCount) == 1);
			assertThat(call).isNotDone();
			advanceHalfAnIdleTimeout();
			assertThat(failure(call).mayHaveBeenSent()).isTrue();
			assertThat(client.transport().call(relay.address(), TestPeer.forward(1)).join())
				.isInstanceOf(PeerMessage.ForwardAnswer.class);
		}

		/** A request used to arrive after its call had failed, once the path was back. */
		@Test
		void deliverNothingAfterTheirCallsHaveFailed() throws IOException {
			TestPeer server = peer(TestPeer.settings(), TestPeer::echo);
			TestPeer client = client();
			Relay relay = relay(server);
			client.transport().call(relay.address(), TestPeer.forward(1)).join();
			relay.pauseOpenConnections();
			client.transport().call(relay.address(), TestPeer.forward(FILLING_BYTES));
			CompletableFuture<PeerMessage> call = client.transport()
				.call(relay.address(), new PeerMessage.FetchRecords(0, 0, 1));
			advanceHalfAnIdleTimeout();
			await().until(() -> messageCount(client, "Ping", TrafficCounters.Traffic::outCount) == 1);
			advanceHalfAnIdleTimeout();
			assertThat(failure(call).mayHaveBeenSent()).isTrue();
			relay.resumeOpenConnections();
			await().during(Duration.ofMillis(500)).until(() -> !server.hasReceived(PeerMessage.FetchRecords.class));
		}

		@Test
		void areDistinguishedFromSlowAnswers() {
			CompletableFuture<PeerMessage> delayedAnswer = new CompletableFuture<>();
			TestPeer server = peer(TestPeer.settings(), (message) -> delayedAnswer);
			TestPeer client = client();
			CompletableFuture<PeerMessage> call = client.transport().call(server.address(), TestPeer.forward(1));
			await().until(() -> server.hasReceived(PeerMessage.Forward.class));
			IntStream.rangeClosed(1, PING_COUNT).forEach((count) -> {
				advanceHalfAnIdleTimeout();
				await().until(() -> messageCount(client, "Pong", TrafficCounters.Traffic::inCount) >= count);
			});
			delayedAnswer.complete(new PeerMessage.InheritAnswer(true));
			assertThat(call.join()).isEqualTo(new PeerMessage.InheritAnswer(true));
		}

		private long messageCount(TestPeer peer, String type, ToLongFunction<TrafficCounters.Traffic> count) {
			TrafficCounters.Traffic traffic = peer.transport().traffic().snapshot().get(type);
			return (traffic != null) ? count.applyAsLong(traffic) : 0;
		}

	}

	@Nested
	class Backpressure {

		private static final int MAX_OUTBOUND_BYTES = 64 * 1024;

		private static final int MAX_CALL_COUNT = 5_000;

		@Test
		void refusesCallsWhenThePeerDoesNotRead() throws IOException {
			TestPeer server = peer(TestPeer.settings(), (message) -> new CompletableFuture<>());
			TestPeer client = peer(TestPeer.settings().withMaxOutboundBytes(MAX_OUTBOUND_BYTES), TestPeer::echo);
			Relay relay = relay(server);
			client.transport().call(relay.address(), TestPeer.forward(1));
			await().until(() -> server.hasReceived(PeerMessage.Forward.class));
			relay.stopReadingOpenConnections();
			CompletableFuture<PeerMessage> refusedCall = IntStream.range(0, MAX_CALL_COUNT)
				.mapToObj((index) -> client.transport().call(relay.address(), TestPeer.forward(32 * 1024)))
				.filter(CompletableFuture::isCompletedExceptionally)
				.findFirst()
				.orElseThrow();
			assertThat(failure(refusedCall).mayHaveBeenSent()).isFalse();
		}

	}

}
