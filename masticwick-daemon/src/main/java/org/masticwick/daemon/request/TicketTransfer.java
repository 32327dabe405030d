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
 * Hands the unexpired tickets of a stopping host over to a successor. After the transfer
 * this host starts no job under the tickets. Jobs that are running end on this host, and
 * their answers are then sent to the successor.
 */
public final class TicketTransfer {

	private static final Logger logger = LoggerFactory.getLogger(TicketTransfer.class);

	private static final long CALL_TIMEOUT_SECONDS = 10;

	private final TicketRegistries registries;

	private final PeerDirectory peers;

	private final PeerTransport transport;

	private final Metrics metrics;

	private final TimeSource time;

	private final StagedJobs stagedJobs = new StagedJobs();

	/**
	 * Creates a transfer.
	 * @param registries the ticket registries of this host
	 * @param peers lists the entry hosts that can be successors
	 * @param transport sends messages to the other entry hosts
	 * @param metrics counts the messages sent
	 * @param time the clock
	 */
	public TicketTransfer(TicketRegistries registries, PeerDirectory peers, PeerTransport transport, Metrics metrics,
			TimeSource time) {
		this.registries = registries;
		this.peers = peers;
		this.transport = transport;
		this.metrics = metrics;
		this.time = time;
	}

	/**
	 * Hands all registries over. Blocks until each registry has a successor or no
	 * candidate accepted it.
	 * @return completes when the answers of the jobs that are still running have been
	 * delivered to the successors, or every attempt to deliver them has failed
	 */
	public CompletableFuture<Void> handOver() {
		List<CompletableFuture<Void>> deliveries = new ArrayList<>();
		this.registries.handOver()
			.stream()
			.filter((registry) -> registry == this.registries.ownRegistry() || !registry.expired())
			.map((registry) -> TicketOffer.of(registry, this.registries.ownRegistry().ticketFactory().issuer()))
			.forEach((offer) -> handOver(offer)
				.ifPresent((successor) -> deliverOpenAnswers(offer, successor, deliveries)));
		return CompletableFuture.allOf(deliveries.toArray(CompletableFuture<?>[]::new));
	}

	private Optional<HostAddress> handOver(TicketOffer offer) {
		TicketRegistry registry = offer.registry();
		for (EntryHost candidate : this.peers.successorCandidates()) {
			HostAddress successor = candidate.peerAddress();
			Outcome outcome = send(offer, successor);
			if (outcome != Outcome.REFUSED) {
				this.registries.recordSuccessor(registry.ticketFactory().issuer().incarnation(), successor);
				logger.atInfo()
					.addKeyValue("incarnation", registry.ticketFactory().issuer().incarnation())
					.addKeyValue("heir", successor)
					.addKeyValue("outcome", outcome)
					.addKeyValue("jobs", registry.entryCount())
					.log("Tickets handed over; forwarding requests for them to the successor");
				return Optional.of(successor);
			}
		}
		this.registries.recordNoSuccessor(registry.ticketFactory().issuer().incarnation());
		logger.atWarn()
			.addKeyValue("incarnation", registry.ticketFactory().issuer().incarnation())
			.log("No host accepted the tickets; no new job can start under them");
		return Optional.empty();
	}

	private Outcome send(TicketOffer offer, HostAddress successor) {
		boolean allPartsAccepted = offer.partMessages()
			.stream()
			.allMatch((part) -> call(part, successor) == Outcome.ACCEPTED);
		return allPartsAccepted ? call(offer.lastMessage(), successor) : Outcome.REFUSED;
	}

	private Outcome call(InheritTickets message, HostAddress successor) {
		this.metrics.countMessage(MessageKind.TRANSFER);
		try {
			PeerMessage answer = this.transport.call(successor, message).get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			return (answer instanceof InheritAnswer inheritAnswer && inheritAnswer.accepted()) ? Outcome.ACCEPTED
					: Outcome.REFUSED;
		}
		catch (ExecutionException ex) {
			boolean notSent = ex.getCause() instanceof PeerException peerException && !peerException.mayHaveBeenSent();
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

	private void deliverOpenAnswers(TicketOffer offer, HostAddress successor,
			List<CompletableFuture<Void>> deliveries) {
		AnswerDelivery delivery = new AnswerDelivery(this.transport, successor, this.metrics);
		offer.openJobs().forEach((ticket, entry) -> {
			CompletableFuture<Void> delivered = entry.answer()
				.thenCompose((answer) -> delivery
					.deliver(new ClosedTicket(ticket, answer.status(), answer.contentType(), answer.body())));
			deliveries.add(delivered);
		});
	}

	/**
	 * Assumes ownership of a registry of a stopping host.
	 * @param offered a message of the transfer: some of the jobs, or the last one, which
	 * carries the key
	 * @return whether the message was accepted
	 */
	public PeerMessage inherit(InheritTickets offered) {
		if (offered.jobCount() == InheritTickets.PARTIAL_LIST) {
			return new InheritAnswer(this.stagedJobs.add(offered, this.registries.freeBytesForInheritedAnswers()));
		}
		return this.stagedJobs.complete(offered, this.registries.freeBytesForInheritedAnswers())
			.map((jobs) -> inherit(offered, jobs))
			.orElseGet(() -> new InheritAnswer(false));
	}

	private InheritAnswer inherit(InheritTickets offered, List<InheritedJob> jobs) {
		TicketFactory ticketFactory = new TicketFactory(offered.issuer(), new TicketKey(offered.key()),
				offered.nextSequence());
		TicketRegistry registry = new TicketRegistry(ticketFactory, this.time,
				offered.issuerEpochMillis() - this.time.epochMillis());
		registry.recordExpiry(offered.expiresAtEpochMillis());
		jobs.forEach((job) -> restore(registry, job, offered.stoppingHost()));
		if (!this.registries.inherit(registry)) {
			return new InheritAnswer(
					this.registries.find(offered.issuer().incarnation()).filter(TicketRegistry::held).isPresent());
		}
		logger.atInfo()
			.addKeyValue("incarnation", offered.issuer().incarnation())
			.addKeyValue("from", offered.issuer().peerAddress())
			.addKeyValue("jobs", jobs.size())
			.log("Took ownership of the tickets of a stopping host; serving requests for them");
		return new InheritAnswer(true);
	}

	private static void restore(TicketRegistry registry, InheritedJob job, EntryHost stoppingHost) {
		Ticket ticket = Ticket.parse(job.ticket());
		JobEntry entry = new JobEntry(job.digest(), ticket.expiryEpochMillis(), stoppingHost);
		if (job.status() != TicketOffer.RUNNING_STATUS) {
			entry.complete(new HttpAnswer(job.status(), job.contentType(), job.body(), HttpAnswer.NO_RETRY));
		}
		registry.restore(ticket.sequence(), entry);
	}

	/**
	 * Records answers that another host gave for tickets of this host. A ticket that was
	 * not submitted is closed with the answer.
	 * @param closed the tickets with their answers
	 */
	public void close(CloseTickets closed) {
		closed.tickets().forEach(this::close);
	}

	private void close(ClosedTicket closed) {
		HttpAnswer answer = new HttpAnswer(closed.status(), closed.contentType(), closed.body(), HttpAnswer.NO_RETRY);
		try {
			Ticket ticket = Ticket.parse(closed.ticket());
			this.registries.find(ticket.incarnation())
				.flatMap((registry) -> registry.claim(ticket, JobEntry.NO_BODY))
				.ifPresent((claim) -> claim.entry().complete(answer));
		}
		catch (MasticwickException ex) {
			RequestLog.event(logger, closed.ticket())
				.addKeyValue("reason", ex.getMessage())
				.log("Ignoring the answer of another host: the ticket is invalid or has expired");
		}
	}

	/**
	 * Lists the outcomes of a transfer message; {@code UNKNOWN} if the peer may have
	 * accepted it but its answer is missing.
	 */
	private enum Outcome {

		ACCEPTED, REFUSED, UNKNOWN

	}

}
