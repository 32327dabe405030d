package org.masticwick.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The command {@code dump}: prints the complete state of an entry host.
 */
final class DumpCommand implements Command {

	@Override
	public String name() {
		return "dump";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("show the complete state of an entry host");
		Arguments.addHosts(parser);
	}

	@Override
	public CommandResult run(Namespace arguments) {
		JsonNode json = HostQuery.get(Arguments.hosts(arguments), "dump");
		return new CommandResult(ExitCode.OK, json, json.toPrettyString());
	}

}
