package org.masticwick.daemon.request;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.request.Ticket;
import org.masticwick.wire.PeerMessage.CloseTickets;
import org.masticwick.wire.PeerMessage.ClosedTicket;
import org.masticwick.wire.PeerTransport;

/**
 * Stores the answers that were collected in place of lost issuers. An issuer that was
 * only paused or partitioned receives them when it is in contact again, so that it ends
 * those jobs with the same answers.
 */
public final class RecoveredAnswers {

	private final PeerTransport transport;

	private final Map<Incarnation, Queue<ClosedTicket>> answersByIssuer = new ConcurrentHashMap<>();

	/**
	 * Creates an empty store.
	 * @param transport sends messages to the issuers
	 */
	public RecoveredAnswers(PeerTransport transport) {
		this.transport = transport;
	}

	/**
	 * Stores an answer for the issuer of a ticket.
	 * @param ticket the ticket
	 * @param answer the answer that was collected
	 */
	public void store(Ticket ticket, HttpAnswer answer) {
		this.answersByIssuer.computeIfAbsent(ticket.incarnation(), (issuer) -> new ConcurrentLinkedQueue<>())
			.add(new ClosedTicket(ticket.toString(), answer.status(), answer.contentType(), answer.body()));
	}

	/**
	 * Sends an issuer all answers that are stored for it. Answers whose message fails are
	 * stored again.
	 * @param issuer the host that is in contact again
	 */
	public void deliverTo(EntryHost issuer) {
		Queue<ClosedTicket> answers = this.answersByIssuer.remove(issuer.incarnation());
		if (answers == null) {
			return;
		}
		List<ClosedTicket> sentAnswers = List.copyOf(answers);
		this.transport.call(issuer.peerAddress(), new CloseTickets(sentAnswers)).exceptionally((ex) -> {
			storeAgain(issuer.incarnation(), sentAnswers.stream());
			return null;
		});
	}

	private void storeAgain(Incarnation issuer, Stream<ClosedTicket> answers) {
		Queue<ClosedTicket> queue = this.answersByIssuer.computeIfAbsent(issuer,
				(key) -> new ConcurrentLinkedQueue<>());
		answers.forEach(queue::add);
	}

	/**
	 * Removes the answers whose tickets have expired.
	 * @param nowEpochMillis the current time in milliseconds since the epoch
	 */
	public void removeExpired(long nowEpochMillis) {
		this.answersByIssuer.values()
			.forEach((queue) -> queue
				.removeIf((closed) -> Ticket.parse(closed.ticket()).expiryEpochMillis() <= nowEpochMillis));
		this.answersByIssuer.values().removeIf(Queue::isEmpty);
	}

}
