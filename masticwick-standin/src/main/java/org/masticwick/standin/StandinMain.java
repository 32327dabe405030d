package org.masticwick.standin;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.core.process.TimeSource;
import org.masticwick.standin.connection.Json;
import org.masticwick.standin.connection.StandinException;
import org.masticwick.standin.process.PlatformOptions;
import org.masticwick.standin.process.PlatformStandin;
import org.masticwick.standin.process.WorkerAdmin;
import org.masticwick.standin.process.WorkerFleet;
import org.masticwick.standin.process.WorkerOptions;

/**
 * Command line that runs a stand-in as a process of its own: a simulated platform, or
 * simulated workers.
 */
public final class StandinMain {

	private static final String ANY_LOOPBACK_PORT = "127.0.0.1:0";

	private static final int USAGE_EXIT_CODE = 2;

	private static final int FAILURE_EXIT_CODE = 1;

	private StandinMain() {
	}

	/**
	 * Starts a stand-in. Once it listens, prints its addresses to standard output as one
	 * line of JSON. Exits with 2 if the arguments are invalid and with 1 if starting
	 * fails with a {@link RuntimeException}.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		ArgumentParser parser = createParser();
		try {
			Namespace options = parser.parseArgs(args);
			Map<String, Object> startedEvent = options.getString("command").equals("platform") ? startPlatform(options)
					: startWorkers(options);
			System.out.println(new String(Json.write(startedEvent), StandardCharsets.UTF_8));
			System.out.flush();
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			System.exit(USAGE_EXIT_CODE);
		}
		catch (RuntimeException ex) {
			System.err.println("The stand-in can't be started: " + ex.getMessage());
			System.exit(FAILURE_EXIT_CODE);
		}
	}

	private static ArgumentParser createParser() {
		ArgumentParser parser = ArgumentParsers.newFor("masticwick-standin")
			.build()
			.description("Simulates the platform or the workers of a failure domain.");
		Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
		addPlatformCommand(commands);
		addWorkersCommand(commands);
		return parser;
	}

	private static void addPlatformCommand(Subparsers commands) {
		Subparser platform = commands.addParser("platform").help("simulate the log and the host list");
		platform.addArgument("--listen").setDefault(ANY_LOOPBACK_PORT).help("ip:port");
		platform.addArgument("--append-delay-ms").type(Long.class).setDefault(5L);
		platform.addArgument("--append-rate-max")
			.type(Integer.class)
			.setDefault(400)
			.help("maximum appends per second");
		platform.addArgument("--host-list-lag-ms").type(Long.class).setDefault(2000L);
		platform.addArgument("--retention-records")
			.type(Integer.class)
			.setDefault(10_000)
			.help("records that each stream retains");
	}

	private static void addWorkersCommand(Subparsers commands) {
		Subparser workers = commands.addParser("workers").help("simulate the workers of a failure domain");
		workers.addArgument("--bind").setDefault("127.0.0.1").help("IP address that the workers listen on");
		workers.addArgument("--count").type(Integer.class).setDefault(1);
		workers.addArgument("--domain").required(true);
		workers.addArgument("--rack").nargs("+").setDefault(List.of("r1"));
		workers.addArgument("--service").required(true);
		workers.addArgument("--slots").type(Integer.class).setDefault(8);
		workers.addArgument("--connections").type(Integer.class).setDefault(64);
		workers.addArgument("--platform").help("ip:port of the platform whose host list the workers join");
		workers.addArgument("--admin").setDefault(ANY_LOOPBACK_PORT).help("ip:port");
	}

	private static Map<String, Object> startPlatform(Namespace options) {
		ListenAddress listenAddress = ListenAddress.parse(options.getString("listen"));
		PlatformOptions platformOptions = new PlatformOptions(options.getLong("append_delay_ms"),
				options.getInt("append_rate_max"), options.getLong("host_list_lag_ms"),
				options.getInt("retention_records"));
		PlatformStandin platform = new PlatformStandin(platformOptions, TimeSource.system());
		HostAddress address = platform.open(listenAddress.ip(), listenAddress.port());
		closeAtExit(platform);
		return startedEvent(Map.of("platform", address.toString()));
	}

	private static Map<String, Object> startWorkers(Namespace options) {
		ListenAddress listenAddress = ListenAddress.parse(options.getString("admin"));
		String platform = options.getString("platform");
		WorkerOptions workerOptions = new WorkerOptions(options.getString("bind"), options.getInt("count"),
				options.getString("domain"), options.getList("rack"), options.getString("service"),
				options.getInt("slots"), options.getInt("connections"),
				(platform != null) ? HostAddress.parse(platform.replaceFirst("^http://", "")) : null);
		WorkerFleet fleet = new WorkerFleet(workerOptions, TimeSource.system());
		List<String> workers = fleet.open().stream().map(HostAddress::toString).toList();
		closeAtExit(fleet);
		HostAddress admin = new WorkerAdmin(fleet).open(listenAddress.ip(), listenAddress.port());
		return startedEvent(Map.of("admin", admin.toString(), "workers", workers));
	}

	private static Map<String, Object> startedEvent(Map<String, Object> addresses) {
		Map<String, Object> event = new LinkedHashMap<>();
		event.put("event", "started");
		event.putAll(new TreeMap<>(addresses));
		return event;
	}

	private static void closeAtExit(AutoCloseable closeable) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			try {
				closeable.close();
			}
			catch (Exception ex) {
				System.err.println("The stand-in was not closed properly at exit: " + ex);
			}
		}, "close-at-exit"));
	}

	/**
	 * Address to listen on.
	 *
	 * @param ip the IP address
	 * @param port the port, or 0 for one that the operating system chooses
	 */
	private record ListenAddress(String ip, int port) {

		static ListenAddress parse(String text) {
			int colon = text.lastIndexOf(':');
			try {
				return new ListenAddress(text.substring(0, Math.max(0, colon)),
						Integer.parseInt(text.substring(colon + 1)));
			}
			catch (NumberFormatException ex) {
				throw new StandinException(ErrorCode.INVALID_SETTINGS,
						"The address to listen on must be ip:port: " + text, ex);
			}
		}

	}

}
