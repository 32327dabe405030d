package org.masticwick.cli.process;

import java.nio.file.Path;
import java.time.Duration;

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
		parser.addArgument("--platform").required(true).metavar("URL").help("URL of the platform");
		parser.addArgument("--timeout-ms")
			.dest("timeout")
			.type(Integer.class)
			.setDefault(30_000)
			.help("how long to try to publish it and to read the verdict, in milliseconds; default 30000");
		parser.addArgument("file").metavar("FILE").help("the release note, in TOML");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		ReleaseNote note = new ReleaseNoteLoader().load(Path.of(arguments.getString("file")));
		Duration timeout = Duration.ofMillis(arguments.getInt("timeout"));
		try (SitePublisher publisher = new SitePublisher(Arguments.url(arguments.getString("platform")))) {
			PublishResult result = publisher.publish(note, timeout);
			return VerdictFormatter.format(note.id(), verdict(result), result.version(), result.reason());
		}
	}

	private static String verdict(PublishResult result) {
		return switch (result.status()) {
			case ACCEPTED -> "accepted";
			case REJECTED -> "rejected";
			case PENDING -> "unknown";
		};
	}

}
