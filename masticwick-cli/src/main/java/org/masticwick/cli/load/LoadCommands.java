package org.masticwick.cli.load;

import java.util.List;

import org.masticwick.cli.process.Command;

/**
 * Provides the commands that generate load, measure and plot results.
 */
public final class LoadCommands {

	private LoadCommands() {
	}

	/**
	 * Returns the commands in the order in which the help lists them.
	 * @return the commands
	 */
	public static List<Command> all() {
		return List.of(new LoadCommand(), new ExperimentCommand(), new OverheadCommand(), new SaturateCommand(),
				new PlotCommand());
	}

}
