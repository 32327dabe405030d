package org.masticwick.wire.internal;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.HostAddress;
import org.masticwick.wire.PeerErrorCodes;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.internal.Envelope.Role;

/**
 * Passes the messages of one connection to the handler and writes its answers.
 */
final class RequestResponder {

	private static final Logger logger = LoggerFactory.getLogger(RequestResponder.class);

	private final AtomicInteger handledCount = new AtomicInteger();

	private final ConnectionContext context;

	private final MessageWriter writer;

	RequestResponder(ConnectionContext context, MessageWriter writer) {
		this.context = context;
		this.writer = writer;
	}

	/**
	 * Passes a message to the handler, and answers it if it is a request.
	 * @param envelope the message
	 * @param from the peer address of the sender
	 */
	void handle(Envelope envelope, HostAddress from) {
		if (envelope.role() == Role.ONE_WAY) {
			inform(envelope.message(), from);
			return;
		}
		if (this.handledCount.incrementAndGet() > this.context.settings().maxPendingCallCount()) {
			this.handledCount.decrementAndGet();
			answer(envelope.correlationId(), new PeerMessage.ErrorAnswer(PeerErrorCodes.BUSY, "Too many requests"));
			return;
		}
		handlerAnswer(envelope.message(), from)
			.whenComplete((answer, error) -> answer(envelope.correlationId(), answer, error));
	}

	/**
	 * Passes a message to the handler that has no answer.
	 * @param message the message
	 * @param from the peer address of the sender
	 */
	void inform(PeerMessage message, HostAddress from) {
		handlerAnswer(message, from).whenComplete((answer, error) -> {
			if (error != null) {
				logger.warn("Handling a message of {} failed", from, error);
			}
		});
	}

	private CompletionStage<PeerMessage> handlerAnswer(PeerMessage request, HostAddress from) {
		try {
			CompletionStage<PeerMessage> answer = this.context.handler().handle(request, from);
			return (answer != null) ? answer : CompletableFuture.completedFuture(null);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void answer(long id, PeerMessage answer, Throwable error) {
		this.handledCount.decrementAndGet();
		if (error != null) {
			logger.warn("Handling a request failed", error);
			answer(id, new PeerMessage.ErrorAnswer(PeerErrorCodes.INTERNAL, error.toString()));
		}
		else if (answer == null) {
			answer(id, new PeerMessage.ErrorAnswer(PeerErrorCodes.UNKNOWN_MESSAGE, "No answer"));
		}
		else {
			answer(id, answer);
		}
	}

	/**
	 * Writes the answer of a request.
	 * @param id the correlation id of the request
	 * @param answer the answer
	 */
	void answer(long id, PeerMessage answer) {
		try {
			this.writer.write(Role.ANSWER, id, answer);
		}
		catch (RuntimeException ex) {
			logger.warn("Answer not sent", ex);
			this.writer.write(Role.ANSWER, id, new PeerMessage.ErrorAnswer(PeerErrorCodes.INTERNAL, ex.toString()));
		}
	}

}
