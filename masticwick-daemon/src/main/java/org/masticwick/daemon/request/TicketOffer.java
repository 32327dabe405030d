package org.masticwick.daemon.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.wire.PeerMessage.InheritTickets;
import org.masticwick.wire.PeerMessage.InheritedJob;

/**
 * Holds the messages that transfer a registry to a successor: the first ones carry only
 * jobs, and the last one also transfers the ownership of the tickets.
 *
 * @param registry the registry, which this host has ceased to hold
 * @param partMessages the messages before the last; empty if one message suffices
 * @param lastMessage the message that transfers the signing key and the number of jobs
 * @param openJobs the entries without an answer, by ticket; their answers are sent later
 */
record TicketOffer(TicketRegistry registry, List<InheritTickets> partMessages, InheritTickets lastMessage,
		Map<String, JobEntry> openJobs) {

	/** The status of a job that has no answer yet, in place of an HTTP status. */
	static final int RUNNING_STATUS = 0;

	private static final int MAX_PART_BYTES = 1024 * 1024;

	private static final int JOB_OVERHEAD_BYTES = 200;

	private static final byte[] NO_BYTES = {};

	/**
	 * Creates the messages for a registry that was handed over and gets no more entries.
	 * @param registry the registry
	 * @param stoppingHost the host that hands the registry over
	 * @return the offer
	 */
	static TicketOffer of(TicketRegistry registry, EntryHost stoppingHost) {
		List<InheritTickets> partMessages = new ArrayList<>();
		List<InheritedJob> jobs = new ArrayList<>();
		Map<String, JobEntry> openJobs = new HashMap<>();
		int[] partBytes = { 0 };
		int[] jobCount = { 0 };
		registry.forEach((sequence, entry) -> {
			InheritedJob job = toJob(ticketOf(registry, sequence, entry).toString(), entry);
			if (job.status() == RUNNING_STATUS) {
				openJobs.put(job.ticket(), entry);
			}
			partBytes[0] += JOB_OVERHEAD_BYTES + job.body().length;
			if (partBytes[0] > MAX_PART_BYTES && !jobs.isEmpty()) {
				partMessages
					.add(message(registry, stoppingHost, NO_BYTES, List.copyOf(jobs), InheritTickets.PARTIAL_LIST));
				jobs.clear();
				partBytes[0] = JOB_OVERHEAD_BYTES + job.body().length;
			}
			jobs.add(job);
			jobCount[0]++;
		});
		byte[] key = registry.ticketFactory().key().toBytes();
		return new TicketOffer(registry, partMessages,
				message(registry, stoppingHost, key, List.copyOf(jobs), jobCount[0]), openJobs);
	}

	private static InheritedJob toJob(String ticket, JobEntry entry) {
		HttpAnswer answer = entry.answer().getNow(null);
		if (answer == null) {
			return new InheritedJob(ticket, entry.digest(), RUNNING_STATUS, "", NO_BYTES);
		}
		return new InheritedJob(ticket, entry.digest(), answer.status(), answer.contentType(), answer.body());
	}

	private static InheritTickets message(TicketRegistry registry, EntryHost stoppingHost, byte[] key,
			List<InheritedJob> jobs, int jobCount) {
		TicketFactory ticketFactory = registry.ticketFactory();
		return new InheritTickets(ticketFactory.issuer(), stoppingHost, registry.issuerEpochMillis(),
				ticketFactory.nextSequence(), key, registry.lastExpiryEpochMillis(), jobs, jobCount);
	}

	private static Ticket ticketOf(TicketRegistry registry, long sequence, JobEntry entry) {
		EntryHost issuer = registry.ticketFactory().issuer();
		return registry.ticketFactory()
			.key()
			.sign(new Ticket(issuer.domain(), issuer.peerAddress(), issuer.incarnation(), sequence,
					entry.expiryEpochMillis(), ""));
	}

}
