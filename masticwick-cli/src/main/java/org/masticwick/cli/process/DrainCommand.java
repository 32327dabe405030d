package org.masticwick.cli.process;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.cli.version.DrainChange;
import org.masticwick.cli.version.DrainResult;
import org.masticwick.cli.version.SitePublisher;
import org.masticwick.platform.PublishResult;

/**
 * The commands {@code drain} and {@code undrain}: drain a failure domain or return it to
 * service, and print the drained domains.
 */
final class DrainCommand implements Command {

	private final boolean drain;

	/**
	 * Creates a command.
	 * @param drain {@code true} for {@code drain}, {@code false} for {@code undrain}
	 */
	DrainCommand(boolean drain) {
		this.drain = drain;
	}

	@Override
	public String name() {
		return this.drain ? "drain" : "undrain";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help(this.drain ? "start no new tasks on the endpoints of a failure domain"
				: "return a drained failure domain to service");
		Arguments.addPlatform(parser);
		parser.addArgument("domain").metavar("DOMAIN").help("the failure domain, as in the capacities of the site");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		DrainChange change = new DrainChange(arguments.getString("domain"), this.drain);
		try (SitePublisher publisher = new SitePublisher(Arguments.platform(arguments))) {
			return format(change, publisher.publish(change, Arguments.timeout(arguments)));
		}
	}

	private static CommandResult format(DrainChange change, DrainResult result) {
		if (result.status() != PublishResult.Status.ACCEPTED) {
			return VerdictFormatter.format(result.noteId(), VerdictFormatter.verdict(result.status()), result.version(),
					result.reason());
		}
		boolean changed = !result.noteId().isEmpty();
		ObjectNode json = JsonNodeFactory.instance.objectNode()
			.put("domain", change.domain())
			.put("drained", change.drain())
			.put("changed", changed)
			.put("note", result.noteId())
			.put("version", result.version());
		result.drainedDomains().forEach(json.putArray("drained_domains")::add);
		String state = change.drain() ? "drained" : "in service";
		String text = "domain " + change.domain() + " is " + (changed ? "" : "already ") + state + " in version "
				+ result.version() + "; drained domains: "
				+ (result.drainedDomains().isEmpty() ? "none" : String.join(", ", result.drainedDomains()));
		return new CommandResult(ExitCode.OK, json, text);
	}

}
