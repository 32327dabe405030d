package org.masticwick.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The command {@code note}: prints the verdict on a release note.
 */
final class NoteCommand implements Command {

	@Override
	public String name() {
		return "note";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("show the verdict on a release note");
		Arguments.addHosts(parser);
		parser.addArgument("id").metavar("ID").help("the id of the release note");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		JsonNode json = HostQuery.get(Arguments.hosts(arguments), "v1/notes/" + arguments.getString("id"));
		return VerdictFormatter.format(arguments.getString("id"), json.path("verdict").asText("unknown"),
				json.path("version").asLong(), json.path("reason").asText());
	}

}
