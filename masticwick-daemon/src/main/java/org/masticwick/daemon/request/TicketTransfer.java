package org.masticwick.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.MasticwickException;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;
import org.masticwick.daemon.process.metrics.MessageKind;
import org.masticwick.daemon.process.metrics.Metrics;
import org.masticwick.wire.PeerException;
import org.masticwick.wire.PeerMessage;
import org.masticwick.wire.PeerMessage.CloseTickets;
import org.masticwick.wire.PeerMessage.ClosedTicket;
import org.masticwick.wire.PeerMessage.InheritAnswer;
import org.masticwick.wire.PeerMessage.InheritTickets;
import org.masticwick.wire.PeerMessage.InheritedJob;
import org.masticwick.wire.PeerTransport;

/**
 * Passes the unexpired tickets of a stopping process to one heir. After the transfer this
 * process starts no job under them; jobs it already runs end here, and their answers
 * follow to the heir.
 */
public final class TicketTransfer {

	private static final Logger logger = LoggerFactory.getLogger(TicketTransfer.class);

	private static final long CALL_LIMIT_SECONDS = 10;

	private final TicketRegistries books;

	private final PeerDirectory peers;

	private final PeerTransport transport;

	private final Metrics metrics;

	private final TimeSource time;

	private final StagedJobs staged = new StagedJobs();

	/**
	 * Creates a transfer.
	 * @param books the books of this process
	 * @param peers the other entry hosts
	 * @param transport the way to them
	 * @param metrics the metrics
	 * @param time the clock
	 */
	public TicketTransfer(TicketRegistries books, PeerDirectory peers, PeerTransport transport, Metrics metrics,
			TimeSource time) {
		this.books = books;
		this.peers = peers;
		this.transport = transport;
		this.metrics = metrics;
		this.time = time;
	}

	/**
	 * Hands all books over. Blocks until each has an heir, or none can be found.
	 * @return the answers still on their way to heirs; done when all have arrived
	 */
	public CompletableFuture<Void> handOver() {
		List<CompletableFuture<Void>> pending = new ArrayList<>();
		this.books.handOver()
			.stream()
			.filter((book) -> book == this.books.own() || !book.expired())
			.map((book) -> Offer.of(book, this.books.own().mint().issuer()))
			.forEach((offer) -> handOver(offer).ifPresent((heir) -> followUp(offer, heir, pending)));
		return CompletableFuture.allOf(pending.toArray(CompletableFuture<?>[]::new));
	}

	private Optional<HostAddress> handOver(Offer offer) {
		TicketRegistry book = offer.book();
		for (EntryHost candidate : this.peers.successorCandidates()) {
			HostAddress heir = candidate.peerAddress();
			Outcome outcome = send(offer, heir);
			if (outcome != Outcome.REFUSED) {
				this.books.noteHeir(book.mint().issuer().incarnation(), heir);
				logger.atInfo()
					.addKeyValue("incarnation", book.mint().issuer().incarnation())
					.addKeyValue("heir", heir)
					.addKeyValue("outcome", outcome)
					.addKeyValue("jobs", book.size())
					.log("Tickets handed over");
				return Optional.of(heir);
			}
		}
		this.books.noteNoHeir(book.mint().issuer().incarnation());
		logger.atWarn().addKeyValue("incarnation", book.mint().issuer().incarnation()).log("No heir for the tickets");
		return Optional.empty();
	}

	private Outcome send(Offer offer, HostAddress heir) {
		boolean staged = offer.parts().stream().allMatch((part) -> call(part, heir) == Outcome.ACCEPTED);
		return staged ? call(offer.last(), heir) : Outcome.REFUSED;
	}

	private Outcome call(InheritTickets message, HostAddress heir) {
		this.metrics.countMessage(MessageKind.TRANSFER);
		try {
			PeerMessage answer = this.transport.call(heir, message).get(CALL_LIMIT_SECONDS, TimeUnit.SECONDS);
			return (answer instanceof InheritAnswer given && given.accepted()) ? Outcome.ACCEPTED : Outcome.REFUSED;
		}
		catch (ExecutionException ex) {
			boolean notSent = ex.getCause() instanceof PeerException peer && !peer.mayHaveBeenSent();
			return notSent ? Outcome.REFUSED : Outcome.UNKNOWN;
		}
		catch (TimeoutException ex) {
			return Outcome.UNKNOWN;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Outcome.UNKNOWN;
		}
	}

	private void followUp(Offer offer, HostAddress heir, List<CompletableFuture<Void>> pending) {
		AnswerDelivery delivery = new AnswerDelivery(this.transport, heir, this.metrics);
		offer.open().forEach((ticket, entry) -> {
			CompletableFuture<Void> delivered = entry.answer()
				.thenCompose((answer) -> delivery
					.deliver(new ClosedTicket(ticket, answer.status(), answer.contentType(), answer.body())));
			pending.add(delivered);
		});
	}

	/**
	 * Takes a book over from a stopping process.
	 * @param offered the book
	 * @return the answer
	 */
	public PeerMessage inherit(InheritTickets offered) {
		if (offered.jobCount() == InheritTickets.PARTIAL_LIST) {
			return new InheritAnswer(this.staged.add(offered, this.books.freeBytes()));
		}
		return this.staged.complete(offered, this.books.freeBytes())
			.map((jobs) -> inherit(offered, jobs))
			.orElseGet(() -> new InheritAnswer(false));
	}

	private InheritAnswer inherit(InheritTickets offered, List<InheritedJob> jobs) {
		TicketFactory mint = new TicketFactory(offered.issuer(), new TicketKey(offered.key()), offered.nextSequence());
		TicketRegistry book = new TicketRegistry(mint, this.time,
				offered.issuerEpochMillis() - this.time.epochMillis());
		book.noteExpiry(offered.expiresAtEpochMillis());
		jobs.forEach((job) -> restore(book, job, offered.stoppingHost()));
		if (!this.books.inherit(book)) {
			return new InheritAnswer(
					this.books.find(offered.issuer().incarnation()).filter(TicketRegistry::held).isPresent());
		}
		logger.atInfo()
			.addKeyValue("incarnation", offered.issuer().incarnation())
			.addKeyValue("from", offered.issuer().peerAddress())
			.addKeyValue("jobs", jobs.size())
			.log("Tickets taken over");
		return new InheritAnswer(true);
	}

	private static void restore(TicketRegistry book, InheritedJob job, EntryHost from) {
		Ticket ticket = Ticket.parse(job.ticket());
		JobEntry entry = new JobEntry(job.digest(), ticket.expiryEpochMillis(), from);
		if (job.status() != Offer.RUNNING) {
			entry.complete(new HttpAnswer(job.status(), job.contentType(), job.body(), HttpAnswer.NO_RETRY));
		}
		book.restore(ticket.sequence(), entry);
	}

	/**
	 * Takes answers that another host gave for tickets of this process.
	 * @param closed the answers
	 */
	public void close(CloseTickets closed) {
		closed.tickets().forEach(this::close);
	}

	private void close(ClosedTicket closed) {
		HttpAnswer answer = new HttpAnswer(closed.status(), closed.contentType(), closed.body(), HttpAnswer.NO_RETRY);
		try {
			Ticket ticket = Ticket.parse(closed.ticket());
			this.books.find(ticket.incarnation())
				.flatMap((book) -> book.claim(ticket, JobEntry.NO_BODY))
				.ifPresent((claim) -> claim.entry().complete(answer));
		}
		catch (MasticwickException ex) {
			RequestLog.event(logger, closed.ticket())
				.addKeyValue("reason", ex.getMessage())
				.log("Answer from another host came too late");
		}
	}

	/**
	 * Tells what came of an offer.
	 */
	private enum Outcome {

		ACCEPTED, REFUSED, UNKNOWN

	}

}
