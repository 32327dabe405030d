package org.masticwick.cli.load;

import java.util.List;

import org.masticwick.cli.process.Command;

/**
 * Lists the commands that measure.
 */
public final class LoadCommands {

	private LoadCommands() {
	}

	/**
	 * Returns the commands in the order of the help.
	 * @return the commands
	 */
	public static List<Command> all() {
		return List.of(new LoadCommand(), new ExperimentCommand(), new OverheadCommand(), new SaturateCommand(),
				new PlotCommand());
	}

}
