package org.masticwick.cli.process;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.action.StoreTrueArgumentAction;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.FeatureControl;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

import org.masticwick.cli.connection.HostUnreachableException;
import org.masticwick.cli.request.InvalidJobFileException;
import org.masticwick.cli.request.ProblemException;
import org.masticwick.cli.version.UnknownDomainException;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Parses the command line, runs the selected command and prints its result.
 */
public final class CommandLine {

	private static final String COMMAND = "command";

	private static final String OUTPUT = "output";

	private static final String JSON = "json";

	private final Map<String, Command> commands;

	private final ArgumentParser parser;

	private final PrintStream out;

	private final PrintStream err;

	/**
	 * Creates a command line.
	 * @param commands the commands, in the order in which the help lists them
	 * @param version the version of the product
	 * @param out the stream for results
	 * @param err the stream for errors
	 */
	public CommandLine(List<Command> commands, String version, PrintStream out, PrintStream err) {
		this.commands = commands.stream().collect(Collectors.toMap(Command::name, Function.identity()));
		this.parser = parser(commands, version);
		this.out = out;
		this.err = err;
	}

	/**
	 * Parses the arguments and runs the command that they select. Errors are printed, not
	 * thrown.
	 * @param args the command line arguments
	 * @return the exit code for the process
	 */
	public ExitCode run(String... args) {
		if (List.of(args).equals(List.of("--version"))) {
			this.out.println(this.parser.formatVersion());
			return ExitCode.OK;
		}
		try {
			Namespace arguments = this.parser.parseArgs(args);
			return print(this.commands.get(arguments.getString(COMMAND)).run(arguments), arguments);
		}
		catch (HelpScreenException ex) {
			return ExitCode.OK;
		}
		catch (ArgumentParserException ex) {
			this.parser.handleError(ex, new PrintWriter(this.err, true, StandardCharsets.UTF_8));
			return ExitCode.USAGE;
		}
		catch (MasticwickException ex) {
			this.err.println(List.of(args).contains(JSON) ? toJson(ex)
					: "masticwick: " + ex.errorCode().code() + ": " + ex.getMessage());
			return exitCode(ex);
		}
		catch (RuntimeException ex) {
			ex.printStackTrace(this.err);
			return ExitCode.INTERNAL;
		}
	}

	private ExitCode print(CommandResult result, Namespace arguments) {
		boolean json = JSON.equals(arguments.getString(OUTPUT));
		this.out.println(json ? result.json().toString() : result.text());
		return result.exitCode();
	}

	private static String toJson(MasticwickException ex) {
		return JsonNodeFactory.instance.objectNode()
			.put("code", ex.errorCode().code())
			.put("message", ex.getMessage())
			.toString();
	}

	private static ExitCode exitCode(MasticwickException ex) {
		if (ex instanceof HostUnreachableException || ex.errorCode() == ErrorCode.PLATFORM_UNAVAILABLE) {
			return ExitCode.UNKNOWN;
		}
		if (ex instanceof ProblemException || ex instanceof UnknownDomainException) {
			return ExitCode.REFUSED;
		}
		if (ex instanceof InvalidJobFileException || ex.errorCode() == ErrorCode.INVALID_NOTE) {
			return ExitCode.INVALID_FILE;
		}
		return (ex.errorCode() == ErrorCode.INVALID_REQUEST) ? ExitCode.USAGE : ExitCode.INTERNAL;
	}

	private static ArgumentParser parser(List<Command> commands, String version) {
		ArgumentParser parser = ArgumentParsers.newFor("masticwick")
			.build()
			.description("Publishes release notes, shows the active version, submits jobs and measures performance.")
			.epilog("exit codes: " + describeExitCodes())
			.version("masticwick " + version);
		parser.addArgument("--output").choices("text", JSON).setDefault("text").help("the output format; default text");
		parser.addArgument("--version").action(new StoreTrueArgumentAction()).help("show the version and exit");
		Subparsers subparsers = parser.addSubparsers().dest(COMMAND).metavar("COMMAND").title("commands");
		commands.forEach((command) -> addCommand(command, subparsers.addParser(command.name())));
		return parser;
	}

	private static void addCommand(Command command, Subparser subparser) {
		command.configure(subparser);
		subparser.addArgument("--output")
			.choices("text", JSON)
			.setDefault(FeatureControl.SUPPRESS)
			.help("the output format; default text");
	}

	private static String describeExitCodes() {
		return Stream.of(ExitCode.values())
			.map((code) -> code.status() + " " + code.meaning())
			.collect(Collectors.joining("; "));
	}

}
