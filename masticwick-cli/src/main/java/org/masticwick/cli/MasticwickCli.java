package org.masticwick.cli;

import java.util.Objects;

import org.masticwick.cli.process.CommandLine;
import org.masticwick.cli.process.Commands;

/**
 * Entry point of the command {@code masticwick}.
 */
public final class MasticwickCli {

	private static final String UNPACKAGED = "development";

	private MasticwickCli() {
	}

	/**
	 * Runs a command and ends the process with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		String version = MasticwickCli.class.getPackage().getImplementationVersion();
		CommandLine line = new CommandLine(Commands.all(), Objects.requireNonNullElse(version, UNPACKAGED), System.out,
				System.err);
		System.exit(line.run(args).status());
	}

}
