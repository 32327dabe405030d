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
 * Is a book that was given up, as an heir gets it: parts that hold jobs, and a last
 * message that passes the tickets on.
 *
 * @param book the book
 * @param parts the messages before the last
 * @param last the last message
 * @param open the tickets whose answers follow
 */
record Offer(TicketRegistry book, List<InheritTickets> parts, InheritTickets last, Map<String, JobEntry> open) {

	/** Stands for the status of a job that runs. */
	static final int RUNNING = 0;

	private static final int MAX_PART_BYTES = 1024 * 1024;

	private static final int ENTRY_BYTES = 200;

	private static final byte[] NOTHING = {};

	/**
	 * Makes the offer of a book that was given up.
	 * @param book the book
	 * @param holder the process that gave it up
	 * @return the offer
	 */
	static Offer of(TicketRegistry book, EntryHost holder) {
		List<InheritTickets> parts = new ArrayList<>();
		List<InheritedJob> jobs = new ArrayList<>();
		Map<String, JobEntry> open = new HashMap<>();
		int[] partBytes = { 0 };
		int[] jobCount = { 0 };
		book.forEach((sequence, entry) -> {
			InheritedJob job = toJob(ticketOf(book, sequence, entry).toString(), entry);
			if (job.status() == RUNNING) {
				open.put(job.ticket(), entry);
			}
			partBytes[0] += ENTRY_BYTES + job.body().length;
			if (partBytes[0] > MAX_PART_BYTES && !jobs.isEmpty()) {
				parts.add(message(book, holder, NOTHING, List.copyOf(jobs), InheritTickets.PARTIAL_LIST));
				jobs.clear();
				partBytes[0] = ENTRY_BYTES + job.body().length;
			}
			jobs.add(job);
			jobCount[0]++;
		});
		byte[] key = book.mint().key().toBytes();
		return new Offer(book, parts, message(book, holder, key, List.copyOf(jobs), jobCount[0]), open);
	}

	private static InheritedJob toJob(String ticket, JobEntry entry) {
		HttpAnswer answer = entry.answer().getNow(null);
		if (answer == null) {
			return new InheritedJob(ticket, entry.digest(), RUNNING, "", NOTHING);
		}
		return new InheritedJob(ticket, entry.digest(), answer.status(), answer.contentType(), answer.body());
	}

	private static InheritTickets message(TicketRegistry book, EntryHost holder, byte[] key, List<InheritedJob> jobs,
			int jobCount) {
		TicketFactory mint = book.mint();
		return new InheritTickets(mint.issuer(), holder, book.homeEpochMillis(), mint.nextSequence(), key,
				book.lastExpiryEpochMillis(), jobs, jobCount);
	}

	private static Ticket ticketOf(TicketRegistry book, long sequence, JobEntry entry) {
		EntryHost home = book.mint().issuer();
		return book.mint()
			.key()
			.sign(new Ticket(home.domain(), home.peerAddress(), home.incarnation(), sequence, entry.expiryEpochMillis(),
					""));
	}

}
