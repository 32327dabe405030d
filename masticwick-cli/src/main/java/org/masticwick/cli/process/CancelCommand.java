package org.masticwick.cli.process;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.request.JobClient;
import org.masticwick.cli.request.JobClientOptions;

/**
 * The command {@code cancel}: cancels a job and prints its outcome.
 */
final class CancelCommand implements Command {

	@Override
	public String name() {
		return "cancel";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("cancel a job and show its outcome");
		Arguments.addHosts(parser);
		Arguments.addTicket(parser);
	}

	@Override
	public CommandResult run(Namespace arguments) {
		try (JobClient client = new JobClient(Arguments.hosts(arguments), JobClientOptions.DEFAULT)) {
			return JobAnswerFormatter.format(AsyncHttpClient.await(client.cancel(arguments.getString("ticket"))));
		}
	}

}
