package org.masticwick.cli.process;

import java.nio.file.Path;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.cli.version.SitePublisher;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.ReleaseNoteLoader;
import org.masticwick.platform.PublishResult;

/**
 * The command {@code publish}: publishes a release note and prints the verdict on it.
 */
final class PublishCommand implements Command {

	@Override
	public String name() {
		return "publish";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("publish a release note and show the verdict on it");
		Arguments.addPlatform(parser);
		parser.addArgument("file").metavar("FILE").help("the release note, in TOML");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		ReleaseNote note = new ReleaseNoteLoader().load(Path.of(arguments.getString("file")));
		try (SitePublisher publisher = new SitePublisher(Arguments.platform(arguments))) {
			PublishResult result = publisher.publish(note, Arguments.timeout(arguments));
			return VerdictFormatter.format(note.id(), VerdictFormatter.verdict(result.status()), result.version(),
					result.reason());
		}
	}

}
