package org.masticwick.cli.process;

import java.util.List;

/**
 * Lists the commands of callers and operators.
 */
public final class Commands {

	private Commands() {
	}

	/**
	 * Returns the commands in the order in which the help lists them.
	 * @return the commands
	 */
	public static List<Command> all() {
		return List.of(new TicketsCommand(), new SubmitCommand(), new StateCommand(), new CancelCommand(),
				new CheckCommand(), new PublishCommand(), new DrainCommand(true), new DrainCommand(false),
				new VersionCommand(), new NoteCommand(), new DumpCommand(), new TicketCostCommand());
	}

}
