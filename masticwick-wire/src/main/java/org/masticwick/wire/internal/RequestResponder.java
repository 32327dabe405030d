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

	private final AtomicInteger activeRequestCount = new AtomicInteger();

	private final ConnectionContext context;

	private final MessageWriter writer;

	RequestResponder(ConnectionContext context, MessageWriter writer) {
		this.context = context;
		this.writer = writer;
	}

	/**
	 * Passes a message to the handler and, if the message is a request, writes the
	 * answer.
	 * @param envelope the message
	 * @param sender the peer address of the sender
	 */
	void handle(Envelope envelope, HostAddress sender) {
		if (envelope.role() == Role.ONE_WAY) {
			notifyHandler(envelope.message(), sender);
			return;
		}
		if (this.activeRequestCount.incrementAndGet() > this.context.settings().maxPendingCallCount()) {
			this.activeRequestCount.decrementAndGet();
			writeAnswer(envelope.correlationId(),
					new PeerMessage.ErrorAnswer(PeerErrorCodes.BUSY, "Too many requests"));
			return;
		}
		invokeHandler(envelope.message(), sender)
			.whenComplete((answer, error) -> completeRequest(envelope.correlationId(), answer, error));
	}

	/**
	 * Passes a message that has no answer to the handler.
	 * @param message the message
	 * @param sender the peer address of the sender
	 */
	void notifyHandler(PeerMessage message, HostAddress sender) {
		invokeHandler(message, sender).whenComplete((answer, error) -> {
			if (error != null) {
				logger.warn("The handler failed on a message from peer {}", sender, error);
			}
		});
	}

	private CompletionStage<PeerMessage> invokeHandler(PeerMessage request, HostAddress sender) {
		try {
			CompletionStage<PeerMessage> answer = this.context.handler().handle(request, sender);
			return (answer != null) ? answer : CompletableFuture.completedFuture(null);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void completeRequest(long correlationId, PeerMessage answer, Throwable error) {
		this.activeRequestCount.decrementAndGet();
		if (error != null) {
			logger.warn("The handler failed on a request; answering with an internal error", error);
			writeAnswer(correlationId, new PeerMessage.ErrorAnswer(PeerErrorCodes.INTERNAL, error.toString()));
		}
		else if (answer == null) {
			writeAnswer(correlationId, new PeerMessage.ErrorAnswer(PeerErrorCodes.UNKNOWN_MESSAGE, "No answer"));
		}
		else {
			writeAnswer(correlationId, answer);
		}
	}

	/**
	 * Writes the answer to a request.
	 * @param correlationId the correlation id of the request
	 * @param answer the answer
	 */
	void writeAnswer(long correlationId, PeerMessage answer) {
		try {
			this.writer.write(Role.ANSWER, correlationId, answer);
		}
		catch (RuntimeException ex) {
			logger.warn("Could not write the answer to a request; answering with an internal error", ex);
			this.writer.write(Role.ANSWER, correlationId,
					new PeerMessage.ErrorAnswer(PeerErrorCodes.INTERNAL, ex.toString()));
		}
	}

}
