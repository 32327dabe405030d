package org.masticwick.cli.process;

import java.nio.file.Path;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.request.JobClient;
import org.masticwick.cli.request.JobClientOptions;
import org.masticwick.cli.request.JobFile;
import org.masticwick.cli.request.Ticket;
import org.masticwick.core.request.JobRequest;

/**
 * The command {@code submit}: submits a job, waits for its outcome and prints it.
 */
final class SubmitCommand implements Command {

	@Override
	public String name() {
		return "submit";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("submit a job and wait for its outcome");
		Arguments.addHosts(parser);
		parser.addArgument("--ticket")
			.help("submit under this ticket instead of a new one; attaches to the job if it was submitted before");
		parser.addArgument("--retries")
			.type(Integer.class)
			.setDefault(JobClientOptions.DEFAULT.refusalRetryCountMax())
			.help("how often a refused job is resubmitted under a new ticket; default 3");
		parser.addArgument("file").metavar("FILE").help("the job, in JSON or TOML");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		JobRequest request = JobFile.load(Path.of(arguments.getString("file")));
		JobClientOptions options = JobClientOptions.DEFAULT.withRefusalRetryCountMax(arguments.getInt("retries"));
		String ticket = arguments.getString("ticket");
		try (JobClient client = new JobClient(Arguments.hosts(arguments), options)) {
			if (ticket == null) {
				return JobAnswerFormatter.format(AsyncHttpClient.await(client.submit(request)));
			}
			Ticket givenTicket = new Ticket(ticket, client.hosts().get(0), Long.MAX_VALUE);
			return JobAnswerFormatter.format(AsyncHttpClient.await(client.submit(givenTicket, request)));
		}
	}

}
