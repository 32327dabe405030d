package org.masticwick.daemon.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

import org.masticwick.core.process.HostAddress;
import org.masticwick.daemon.process.metrics.MessageKind;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.wire.PeerMessage.CloseTickets;
import org.masticwick.wire.PeerMessage.ClosedTicket;
import org.masticwick.wire.PeerTransport;

/**
 * Delivers answers to an heir, one message at a time. What comes while a message is under
 * way goes into the next one, up to a bound, so that a full memory of answers neither
 * floods the connection nor needs a message for each answer.
 */
final class AnswerDelivery {

	private static final int MAX_MESSAGE_BYTES = 1024 * 1024;

	private static final int ATTEMPT_COUNT = 5;

	private final PeerTransport transport;

	private final HostAddress heir;

	private final Metrics metrics;

	private final Queue<Parcel> waiting = new ArrayDeque<>();

	private boolean sending;

	AnswerDelivery(PeerTransport transport, HostAddress heir, Metrics metrics) {
		this.transport = transport;
		this.heir = heir;
		this.metrics = metrics;
	}

	/**
	 * Delivers an answer.
	 * @param answer the answer
	 * @return done when the heir has it, or every attempt has failed
	 */
	CompletableFuture<Void> deliver(ClosedTicket answer) {
		Parcel parcel = new Parcel(answer, new CompletableFuture<>());
		synchronized (this) {
			this.waiting.add(parcel);
		}
		sendNext();
		return parcel.done();
	}

	private void sendNext() {
		List<Parcel> batch;
		synchronized (this) {
			if (this.sending || this.waiting.isEmpty()) {
				return;
			}
			this.sending = true;
			batch = nextBatch();
		}
		send(batch, ATTEMPT_COUNT);
	}

	private List<Parcel> nextBatch() {
		List<Parcel> batch = new ArrayList<>();
		int bytes = 0;
		do {
			Parcel parcel = this.waiting.remove();
			batch.add(parcel);
			bytes += parcel.answer().body().length + parcel.answer().ticket().length();
		}
		while (!this.waiting.isEmpty() && bytes < MAX_MESSAGE_BYTES);
		return batch;
	}

	private void send(List<Parcel> batch, int attemptCount) {
		this.metrics.countMessage(MessageKind.TRANSFER);
		this.transport.call(this.heir, new CloseTickets(batch.stream().map(Parcel::answer).toList()))
			.whenComplete((answer, ex) -> {
				if (ex != null && attemptCount > 1) {
					send(batch, attemptCount - 1);
					return;
				}
				end(batch);
			});
	}

	private void end(List<Parcel> batch) {
		synchronized (this) {
			this.sending = false;
		}
		batch.forEach((parcel) -> parcel.done().complete(null));
		sendNext();
	}

	/**
	 * Is an answer on its way.
	 *
	 * @param answer the answer
	 * @param done completes when the heir has it, or every attempt has failed
	 */
	private record Parcel(ClosedTicket answer, CompletableFuture<Void> done) {

	}

}
