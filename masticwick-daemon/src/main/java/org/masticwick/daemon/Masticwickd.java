package org.masticwick.daemon;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Optional;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

import org.masticwick.daemon.process.EntryHostProcess;
import org.masticwick.daemon.process.StartFailedException;
import org.masticwick.daemon.process.settings.InvalidSettingsException;
import org.masticwick.daemon.process.settings.Settings;
import org.masticwick.daemon.process.settings.SettingsLoader;
import org.masticwick.log.Logging;

/**
 * The main class of {@code masticwickd}: runs an entry host until the process receives a
 * termination signal.
 */
public final class Masticwickd {

	/**
	 * The system property by which Jooby closes its listener on a termination signal. It
	 * is disabled, since a planned stop closes the listener last, when all callers have
	 * received their answers.
	 */
	private static final String JOOBY_SHUTDOWN_HOOK = "jooby.useShutdownHook";

	private static final int EXIT_OK = 0;

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_INVALID_SETTINGS = 3;

	private static final int EXIT_JOBS_ABORTED = 4;

	private static final int EXIT_START_FAILED = 5;

	private Masticwickd() {
	}

	/**
	 * Checks the settings and runs the entry host. The exit codes are listed in the help
	 * text.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		ArgumentParser parser = parser();
		try {
			Namespace options = parser.parseArgs(args);
			Settings settings = SettingsLoader.load(Path.of(options.getString("config")));
			if (options.getBoolean("check_config")) {
				System.out.println("The settings are valid.");
				return;
			}
			run(settings);
		}
		catch (HelpScreenException ex) {
			System.exit(EXIT_OK);
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			System.exit(EXIT_USAGE);
		}
		catch (InvalidSettingsException ex) {
			printProblems(ex, System.err);
			System.exit(EXIT_INVALID_SETTINGS);
		}
		catch (StartFailedException ex) {
			System.err.println("masticwickd: " + ex.errorCode().code() + ": " + ex.getMessage());
			System.exit(EXIT_START_FAILED);
		}
	}

	private static ArgumentParser parser() {
		ArgumentParser parser = ArgumentParsers.newFor("masticwickd")
			.build()
			.defaultHelp(true)
			.description("Entry host of masticwick, a dispatcher for sub-second tasks.")
			.epilog("exit codes: 0 planned stop completed; 2 invalid command line; 3 invalid settings; "
					+ "4 stopped, with jobs aborted at the deadline; 5 can't listen on an address")
			.version("masticwickd " + version());
		parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
		parser.addArgument("--config").metavar("FILE").required(true).help("the settings file, in TOML");
		parser.addArgument("--check-config")
			.action(Arguments.storeTrue())
			.help("check the settings, report every problem, and exit");
		return parser;
	}

	private static String version() {
		return Optional.ofNullable(Masticwickd.class.getPackage().getImplementationVersion()).orElse("unknown");
	}

	private static void printProblems(InvalidSettingsException ex, PrintStream out) {
		ex.problems().forEach((problem) -> out.println(problem));
	}

	private static void run(Settings settings) {
		Logging.configure(settings.log());
		System.setProperty(JOOBY_SHUTDOWN_HOOK, "false");
		EntryHostProcess process = EntryHostProcess.start(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process), "stop"));
		System.out.println(process.startedLine());
		System.out.flush();
		awaitStop(process);
	}

	private static void awaitStop(EntryHostProcess process) {
		try {
			process.awaitStop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void stop(EntryHostProcess process) {
		int abortedJobCount = process.stop();
		Runtime.getRuntime().halt((abortedJobCount > 0) ? EXIT_JOBS_ABORTED : EXIT_OK);
	}

}
