package org.masticwick.cli.process;

import java.time.Duration;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.request.JobClient;
import org.masticwick.cli.request.JobClientOptions;

/**
 * The command {@code state}: prints the outcome of a job, or that it is still running.
 */
final class StateCommand implements Command {

	@Override
	public String name() {
		return "state";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("show the outcome of a job, or that it is still running");
		Arguments.addHosts(parser);
		Arguments.addTicket(parser);
		parser.addArgument("--wait-ms")
			.dest("wait")
			.type(Integer.class)
			.setDefault(0)
			.help("how long to wait for the job to finish, in milliseconds; default 0");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		Duration wait = Duration.ofMillis(arguments.getInt("wait"));
		try (JobClient client = new JobClient(Arguments.hosts(arguments), JobClientOptions.DEFAULT)) {
			return JobAnswerFormatter.format(AsyncHttpClient.await(client.state(arguments.getString("ticket"), wait)));
		}
	}

}
