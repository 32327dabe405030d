package org.masticwick.cli.process;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.Incarnation;
import org.masticwick.core.request.Ticket;
import org.masticwick.core.request.TicketFactory;
import org.masticwick.core.request.TicketKey;

/**
 * The command {@code ticket-cost}: measures the time that an entry host spends on issuing
 * and verifying a ticket, on one thread. It measures several rounds and prints the
 * figures of the last.
 */
final class TicketCostCommand implements Command {

	private static final EntryHost ISSUER = new EntryHost("quetzal-norte", new HostAddress("10.20.1.11", 7400),
			new Incarnation(1_790_000_000_000L, Long.MAX_VALUE / 3));

	private static final int ROUND_COUNT = 5;

	@Override
	public String name() {
		return "ticket-cost";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("measure the time to issue and to verify a ticket");
		parser.addArgument("--count").type(Integer.class).setDefault(200_000).help("tickets per round; default 200000");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		int count = arguments.getInt("count");
		List<Cost> rounds = IntStream.range(0, ROUND_COUNT).mapToObj((round) -> measure(count)).toList();
		Cost lastRound = rounds.get(ROUND_COUNT - 1);
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("ticket_bytes", lastRound.ticketBytes());
		json.put("issue_ns", lastRound.issueNanos());
		json.put("verify_ns", lastRound.verifyNanos());
		String text = String.format(Locale.ROOT, "ticket %d bytes, issue %.0f ns, parse and verify %.0f ns",
				lastRound.ticketBytes(), lastRound.issueNanos(), lastRound.verifyNanos());
		return new CommandResult(ExitCode.OK, json, text);
	}

	private static Cost measure(int count) {
		TicketFactory ticketFactory = new TicketFactory(ISSUER, TicketKey.random(), 0);
		long issueStartNanos = System.nanoTime();
		List<String> tickets = ticketFactory.issue(count, ISSUER.incarnation().startEpochMillis())
			.stream()
			.map(Ticket::toString)
			.toList();
		long verifyStartNanos = System.nanoTime();
		tickets.forEach((ticket) -> ticketFactory.verify(Ticket.parse(ticket)));
		long endNanos = System.nanoTime();
		return new Cost(tickets.get(count - 1).length(), (verifyStartNanos - issueStartNanos) / (double) count,
				(endNanos - verifyStartNanos) / (double) count);
	}

	/**
	 * The mean cost of one ticket in a round.
	 *
	 * @param ticketBytes the length of the text of a ticket, in bytes
	 * @param issueNanos the time to issue it, in nanoseconds
	 * @param verifyNanos the time to parse and verify it, in nanoseconds
	 */
	private record Cost(int ticketBytes, double issueNanos, double verifyNanos) {

	}

}
