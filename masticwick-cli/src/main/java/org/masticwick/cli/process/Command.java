package org.masticwick.cli.process;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * A subcommand of {@code masticwick}.
 */
public interface Command {

	/**
	 * Returns the name that selects this command on the command line.
	 * @return the name
	 */
	String name();

	/**
	 * Declares the arguments of this command.
	 * @param parser the parser of this command
	 */
	void configure(Subparser parser);

	/**
	 * Executes this command.
	 * @param arguments the parsed arguments
	 * @return the output and the exit code
	 */
	CommandResult run(Namespace arguments);

}
