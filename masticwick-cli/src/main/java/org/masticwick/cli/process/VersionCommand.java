package org.masticwick.cli.process;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The command {@code version}: prints the active version of each host, by failure domain.
 */
final class VersionCommand implements Command {

	private static final String ROW_FORMAT = "%n%-16s  %-21s  %-9s  %8s  %10s  %8s";

	@Override
	public String name() {
		return "version";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("show the active version of each host, by failure domain, and the age of that information");
		Arguments.addHosts(parser);
	}

	@Override
	public CommandResult run(Namespace arguments) {
		JsonNode json = HostQuery.get(Arguments.hosts(arguments), "v1/version");
		if (!json.has("domains")) {
			return new CommandResult(ExitCode.UNKNOWN, json, json.toString());
		}
		return new CommandResult(ExitCode.OK, json, table(json));
	}

	private static String table(JsonNode json) {
		StringBuilder text = new StringBuilder("version ").append(json.path("version").asText())
			.append(", log offset ")
			.append(json.path("log_offset").asText());
		text.append(ROW_FORMAT.formatted("domain", "host", "state", "version", "log offset", "age ms"));
		for (Map.Entry<String, JsonNode> domain : json.path("domains").properties()) {
			for (JsonNode host : domain.getValue()) {
				text.append(ROW_FORMAT.formatted(domain.getKey(), host.path("host").asText(),
						host.path("state").asText(), host.path("version").asText("-"),
						host.path("log_offset").asText("-"), host.path("age_ms").asText("-")));
			}
		}
		return text.toString();
	}

}
