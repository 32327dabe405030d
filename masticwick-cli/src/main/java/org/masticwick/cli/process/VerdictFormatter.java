package org.masticwick.cli.process;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Puts verdicts on release notes into words.
 */
final class VerdictFormatter {

	private VerdictFormatter() {
	}

	/**
	 * Makes the output about a verdict.
	 * @param noteId the id of the note
	 * @param verdict {@code accepted}, {@code rejected} or {@code unknown}
	 * @param version the version that the note made
	 * @param reason why it was rejected, or why nothing is known
	 * @return the output and the exit code
	 */
	static CommandResult format(String noteId, String verdict, long version, String reason) {
		ObjectNode json = JsonNodeFactory.instance.objectNode()
			.put("note", noteId)
			.put("verdict", verdict)
			.put("version", version)
			.put("reason", reason);
		String suffix = "accepted".equals(verdict) ? " as version " + version : ": " + reason;
		return new CommandResult(exitCode(verdict), json, "note " + noteId + " " + verdict + suffix);
	}

	private static ExitCode exitCode(String verdict) {
		return switch (verdict) {
			case "accepted" -> ExitCode.OK;
			case "rejected" -> ExitCode.NOTE_REJECTED;
			default -> ExitCode.UNKNOWN;
		};
	}

}
