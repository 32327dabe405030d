package org.masticwick.cli.process;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Does one thing that the command line can ask for.
 */
public interface Command {

	/**
	 * Returns the name on the command line.
	 * @return the name
	 */
	String name();

	/**
	 * Declares the arguments.
	 * @param parser the parser of this command
	 */
	void configure(Subparser parser);

	/**
	 * Does it.
	 * @param arguments the arguments
	 * @return what to print and how to end
	 */
	CommandResult run(Namespace arguments);

}
