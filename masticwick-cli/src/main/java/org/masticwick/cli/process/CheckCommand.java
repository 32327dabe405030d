package org.masticwick.cli.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.cli.connection.HostUnreachableException;
import org.masticwick.cli.version.NoteCheck;
import org.masticwick.cli.version.NoteFinding;
import org.masticwick.core.version.InvalidNoteException;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.ReleaseNoteLoader;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;

/**
 * The command {@code check}: checks a release note before it is published and prints the
 * findings and the differences from the active version. Publishes nothing.
 */
final class CheckCommand implements Command {

	@Override
	public String name() {
		return "check";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("check a release note before it is published, and show what it changes");
		parser.addArgument("--host")
			.dest(Arguments.HOST)
			.metavar("URL[,URL...]")
			.help("URLs of entry hosts, tried in this order; the note is checked against the active version of the "
					+ "first that responds. Without it, the note is checked on its own");
		parser.addArgument("file").metavar("FILE").help("the release note, in TOML");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		ReleaseNote note;
		try {
			note = new ReleaseNoteLoader().load(Path.of(arguments.getString("file")));
		}
		catch (InvalidNoteException ex) {
			List<NoteFinding> findings = ex.problems()
				.stream()
				.map((problem) -> new NoteFinding(NoteFinding.Severity.ERROR, problem.key(),
						problem.message() + (problem.allowed().isEmpty() ? "" : "; allowed: " + problem.allowed())))
				.toList();
			return format("", null, findings, List.of());
		}
		if (arguments.getString(Arguments.HOST) == null) {
			return format(note.id(), null, NoteCheck.check(note), List.of());
		}
		JsonNode json = HostQuery.get(Arguments.hosts(arguments), "v1/site");
		if (!json.has("version")) {
			return new CommandResult(ExitCode.UNKNOWN, json, json.toString());
		}
		SiteState state = decode(json);
		return format(note.id(), state, NoteCheck.check(note, state), NoteCheck.differences(note, state.version()));
	}

	private static SiteState decode(JsonNode json) {
		try {
			return SiteRecordCodec.decodeState(json.toString());
		}
		catch (InvalidNoteException ex) {
			throw new HostUnreachableException("The host responded with a state that can't be read: " + ex.getMessage(),
					true, ex);
		}
	}

	private static CommandResult format(String noteId, SiteState state, List<NoteFinding> findings,
			List<String> differences) {
		ObjectNode json = JsonNodeFactory.instance.objectNode().put("note", noteId);
		if (state != null) {
			json.put("version", state.version().number());
		}
		json.putArray("findings");
		findings.forEach((finding) -> json.withArray("/findings")
			.addObject()
			.put("severity", severity(finding))
			.put("entity", finding.entity())
			.put("message", finding.message()));
		differences.forEach(json.putArray("differences")::add);
		String summary = count(findings, NoteFinding.Severity.ERROR) + " errors, "
				+ count(findings, NoteFinding.Severity.WARNING) + " warnings"
				+ ((state != null) ? ", checked against version " + state.version().number() : "");
		String text = Stream
			.of(findings.stream()
				.map((finding) -> severity(finding) + ": " + finding.entity() + ": " + finding.message()),
					differences.stream().map((difference) -> "difference: " + difference), Stream.of(summary))
			.flatMap((lines) -> lines)
			.collect(Collectors.joining(System.lineSeparator()));
		return new CommandResult(exitCode(findings), json, text);
	}

	private static String severity(NoteFinding finding) {
		return finding.severity().name().toLowerCase(Locale.ROOT);
	}

	private static long count(List<NoteFinding> findings, NoteFinding.Severity severity) {
		return findings.stream().filter((finding) -> finding.severity() == severity).count();
	}

	private static ExitCode exitCode(List<NoteFinding> findings) {
		if (count(findings, NoteFinding.Severity.ERROR) > 0) {
			return ExitCode.INVALID_FILE;
		}
		return findings.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
	}

}
