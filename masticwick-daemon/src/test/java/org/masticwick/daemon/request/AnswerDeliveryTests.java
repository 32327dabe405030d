package org.masticwick.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.masticwick.core.process.HostAddress;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.CloseTickets;
import org.masticwick.wire.PeerMessage.ClosedTicket;
import org.masticwick.wire.PeerMessage.Pong;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AnswerDelivery}.
 */
class AnswerDeliveryTests {

	private static final int HALF_MESSAGE_BYTES = 512 * 1024;

	private static final int ATTEMPT_COUNT = 5;

	private final ManualTransport transport = new ManualTransport();

	private final AnswerDelivery delivery = new AnswerDelivery(this.transport, new HostAddress("127.0.0.1", 7201),
			new Metrics());

	private CompletableFuture<Void> deliver(int number) {
		return this.delivery.deliver(new ClosedTicket("t" + number, 200, "", new byte[HALF_MESSAGE_BYTES]));
	}

	@Test
	void batchesAnswersQueuedDuringACallUpToTheSizeLimit() {
		List<CompletableFuture<Void>> delivered = IntStream.range(0, 6).mapToObj(this::deliver).toList();
		assertThat(this.transport.sentCounts()).containsExactly(1);
		this.transport.answerLast();
		assertThat(this.transport.sentCounts()).containsExactly(1, 2);
		this.transport.answerLast();
		this.transport.answerLast();
		this.transport.answerLast();
		assertThat(this.transport.sentCounts()).containsExactly(1, 2, 2, 1);
		assertThat(delivered).allSatisfy((completion) -> assertThat(completion).isDone());
	}

	@Test
	void retriesUntilAllAttemptsHaveFailed() {
		CompletableFuture<Void> delivered = deliver(0);
		IntStream.range(0, ATTEMPT_COUNT - 1).forEach((attempt) -> this.transport.failLast());
		assertThat(delivered).isNotDone();
		this.transport.failLast();
		assertThat(delivered).isDone();
		assertThat(this.transport.sentCounts()).hasSize(ATTEMPT_COUNT);
	}

	/**
	 * Leaves each call unanswered until the test answers it or makes it fail.
	 */
	private static final class ManualTransport extends CallOnlyTransport {

		private final List<CloseTickets> sentMessages = new ArrayList<>();

		private CompletableFuture<PeerMessage> lastCall;

		private List<Integer> sentCounts() {
			return this.sentMessages.stream().map((message) -> message.tickets().size()).toList();
		}

		private void answerLast() {
			this.lastCall.complete(new Pong());
		}

		private void failLast() {
			this.lastCall.completeExceptionally(new PeerException("cut", null, true));
		}

		@Override
		public CompletableFuture<PeerMessage> call(HostAddress to, PeerMessage request) {
			this.sentMessages.add((CloseTickets) request);
			this.lastCall = new CompletableFuture<>();
			return this.lastCall;
		}

	}

}
