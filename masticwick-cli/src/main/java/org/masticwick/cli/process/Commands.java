package org.masticwick.cli.process;

import java.util.List;

/**
 * Lists the commands.
 */
public final class Commands {

	private Commands() {
	}

	/**
	 * Returns all commands in the order of the help.
	 * @return the commands
	 */
	public static List<Command> all() {
		return List.of(new TicketsCommand(), new SubmitCommand(), new StateCommand(), new CancelCommand(),
				new VersionCommand(), new NoteCommand(), new DumpCommand());
	}

}
