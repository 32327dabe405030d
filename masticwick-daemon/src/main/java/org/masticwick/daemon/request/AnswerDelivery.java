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
 * Delivers answers to a successor, one message at a time. Answers that are added while a
 * message awaits its reply are sent together in the next one, up to a size limit, so that
 * a large number of answers neither floods the connection nor takes one message each.
 */
final class AnswerDelivery {

	private static final int MAX_MESSAGE_BYTES = 1024 * 1024;

	private static final int MAX_ATTEMPT_COUNT = 5;

	private final PeerTransport transport;

	private final HostAddress successor;

	private final Metrics metrics;

	private final Queue<QueuedAnswer> queue = new ArrayDeque<>();

	private boolean sending;

	AnswerDelivery(PeerTransport transport, HostAddress successor, Metrics metrics) {
		this.transport = transport;
		this.successor = successor;
		this.metrics = metrics;
	}

	/**
	 * Queues an answer and sends it as soon as no message awaits its reply.
	 * @param answer the ticket with its answer
	 * @return completes when the successor has received the answer or every attempt has
	 * failed; never completes with an exception
	 */
	CompletableFuture<Void> deliver(ClosedTicket answer) {
		QueuedAnswer queued = new QueuedAnswer(answer, new CompletableFuture<>());
		synchronized (this) {
			this.queue.add(queued);
		}
		sendNext();
		return queued.delivered();
	}

	private void sendNext() {
		List<QueuedAnswer> batch;
		synchronized (this) {
			if (this.sending || this.queue.isEmpty()) {
				return;
			}
			this.sending = true;
			batch = nextBatch();
		}
		send(batch, MAX_ATTEMPT_COUNT);
	}

	private List<QueuedAnswer> nextBatch() {
		List<QueuedAnswer> batch = new ArrayList<>();
		int bytes = 0;
		do {
			QueuedAnswer queued = this.queue.remove();
			batch.add(queued);
			bytes += queued.answer().body().length + queued.answer().ticket().length();
		}
		while (!this.queue.isEmpty() && bytes < MAX_MESSAGE_BYTES);
		return batch;
	}

	private void send(List<QueuedAnswer> batch, int attemptsLeft) {
		this.metrics.countMessage(MessageKind.TRANSFER);
		this.transport.call(this.successor, new CloseTickets(batch.stream().map(QueuedAnswer::answer).toList()))
			.whenComplete((answer, ex) -> {
				if (ex != null && attemptsLeft > 1) {
					send(batch, attemptsLeft - 1);
					return;
				}
				finishBatch(batch);
			});
	}

	private void finishBatch(List<QueuedAnswer> batch) {
		synchronized (this) {
			this.sending = false;
		}
		batch.forEach((queued) -> queued.delivered().complete(null));
		sendNext();
	}

	/**
	 * Represents an answer that is queued or being sent.
	 *
	 * @param answer the ticket with its answer
	 * @param delivered completes when the successor has received the answer or every
	 * attempt has failed
	 */
	private record QueuedAnswer(ClosedTicket answer, CompletableFuture<Void> delivered) {

	}

}
