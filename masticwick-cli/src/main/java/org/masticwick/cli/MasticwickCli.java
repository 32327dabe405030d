package org.masticwick.cli;

import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

import org.masticwick.cli.load.LoadCommands;
import org.masticwick.cli.process.Command;
import org.masticwick.cli.process.CommandLine;
import org.masticwick.cli.process.Commands;

/**
 * Entry point of the command {@code masticwick}.
 */
public final class MasticwickCli {

	private static final String UNPACKAGED_VERSION = "development";

	private MasticwickCli() {
	}

	/**
	 * Runs a command and exits the JVM with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		String version = MasticwickCli.class.getPackage().getImplementationVersion();
		List<Command> commands = Stream.of(Commands.all(), LoadCommands.all()).flatMap(List::stream).toList();
		CommandLine commandLine = new CommandLine(commands, Objects.requireNonNullElse(version, UNPACKAGED_VERSION),
				System.out, System.err);
		System.exit(commandLine.run(args).status());
	}

}
