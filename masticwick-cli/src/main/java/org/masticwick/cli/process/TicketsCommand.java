package org.masticwick.cli.process;

import java.util.List;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.request.JobClient;
import org.masticwick.cli.request.JobClientOptions;
import org.masticwick.cli.request.Ticket;

/**
 * The command {@code tickets}: fetches tickets and prints them.
 */
final class TicketsCommand implements Command {

	@Override
	public String name() {
		return "tickets";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("fetch tickets from an entry host");
		Arguments.addHosts(parser);
		parser.addArgument("--count").type(Integer.class).setDefault(1).help("number of tickets; default 1");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		try (JobClient client = new JobClient(Arguments.hosts(arguments), JobClientOptions.DEFAULT)) {
			List<Ticket> tickets = AsyncHttpClient.await(client.tickets(arguments.getInt("count")));
			ObjectNode json = JsonNodeFactory.instance.objectNode();
			tickets.forEach((ticket) -> json.withArray("/tickets").add(ticket.text()));
			json.put("expires_at_ms", tickets.get(0).expiresAtEpochMillis());
			String text = tickets.stream().map(Ticket::text).collect(Collectors.joining("\n"));
			return new CommandResult(ExitCode.OK, json, text);
		}
	}

}
