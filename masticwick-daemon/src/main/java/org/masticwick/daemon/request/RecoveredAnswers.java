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
 * Keeps the answers that were collected for lost homes, and tells them to a home that was
 * merely paused or cut off when it is heard of again, so that it ends those jobs with the
 * same answer.
 */
public final class RecoveredAnswers {

	private final PeerTransport transport;

	private final Map<Incarnation, Queue<ClosedTicket>> waiting = new ConcurrentHashMap<>();

	/**
	 * Creates an empty store.
	 * @param transport the way to the homes
	 */
	public RecoveredAnswers(PeerTransport transport) {
		this.transport = transport;
	}

	/**
	 * Keeps an answer for the home of a ticket.
	 * @param ticket the ticket
	 * @param answer the answer that was collected
	 */
	public void store(Ticket ticket, HttpAnswer answer) {
		this.waiting.computeIfAbsent(ticket.incarnation(), (home) -> new ConcurrentLinkedQueue<>())
			.add(new ClosedTicket(ticket.toString(), answer.status(), answer.contentType(), answer.body()));
	}

	/**
	 * Tells a home that was heard of what was answered for it.
	 * @param home the home
	 */
	public void deliverTo(EntryHost home) {
		Queue<ClosedTicket> answers = this.waiting.remove(home.incarnation());
		if (answers == null) {
			return;
		}
		List<ClosedTicket> told = List.copyOf(answers);
		this.transport.call(home.peerAddress(), new CloseTickets(told)).exceptionally((ex) -> {
			keepAgain(home.incarnation(), told.stream());
			return null;
		});
	}

	private void keepAgain(Incarnation home, Stream<ClosedTicket> answers) {
		Queue<ClosedTicket> queue = this.waiting.computeIfAbsent(home, (key) -> new ConcurrentLinkedQueue<>());
		answers.forEach(queue::add);
	}

	/**
	 * Forgets the answers for tickets that have expired.
	 * @param nowEpochMillis the time in milliseconds since the epoch
	 */
	public void removeExpired(long nowEpochMillis) {
		this.waiting.values()
			.forEach((queue) -> queue
				.removeIf((closed) -> Ticket.parse(closed.ticket()).expiryEpochMillis() <= nowEpochMillis));
		this.waiting.values().removeIf(Queue::isEmpty);
	}

}
