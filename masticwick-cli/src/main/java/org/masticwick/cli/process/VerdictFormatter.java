package org.masticwick.cli.process;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticwick.platform.PublishResult;

/**
 * Formats verdicts on release notes for the command line.
 */
final class VerdictFormatter {

	private VerdictFormatter() {
	}

	/**
	 * Formats a verdict as JSON and as text.
	 * @param noteId the id of the release note
	 * @param verdict {@code accepted}, {@code rejected} or {@code unknown}
	 * @param version the version that the release note created, if accepted
	 * @param reason why the release note was rejected, or why its verdict is unknown
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

	/**
	 * Returns the verdict that the status of a published note shows.
	 * @param status the status
	 * @return {@code accepted}, {@code rejected} or {@code unknown}
	 */
	static String verdict(PublishResult.Status status) {
		return switch (status) {
			case ACCEPTED -> "accepted";
			case REJECTED -> "rejected";
			case PENDING -> "unknown";
		};
	}

	private static ExitCode exitCode(String verdict) {
		return switch (verdict) {
			case "accepted" -> ExitCode.OK;
			case "rejected" -> ExitCode.NOTE_REJECTED;
			default -> ExitCode.UNKNOWN;
		};
	}

}
