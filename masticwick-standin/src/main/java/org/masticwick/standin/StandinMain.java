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
 * Starts a stand-in of the platform or of workers as a process of its own.
 */
public final class StandinMain {

	private static final String ANY_LOOPBACK_PORT = "127.0.0.1:0";

	private static final int USAGE_EXIT_CODE = 2;

	private static final int FAILURE_EXIT_CODE = 1;

	private StandinMain() {
	}

	/**
	 * Starts the process and prints one line of JSON once it listens.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		ArgumentParser parser = parser();
		try {
			Namespace options = parser.parseArgs(args);
			Map<String, Object> started = options.getString("command").equals("platform") ? startPlatform(options)
					: startWorkers(options);
			System.out.println(new String(Json.write(started), StandardCharsets.UTF_8));
			System.out.flush();
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			System.exit(USAGE_EXIT_CODE);
		}
		catch (RuntimeException ex) {
			System.err.println("Can't start: " + ex.getMessage());
			System.exit(FAILURE_EXIT_CODE);
		}
	}

	private static ArgumentParser parser() {
		ArgumentParser parser = ArgumentParsers.newFor("masticwick-standin")
			.build()
			.description("Stand-ins of the platform and of workers.");
		Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
		addPlatform(commands);
		addWorkers(commands);
		return parser;
	}

	private static void addPlatform(Subparsers commands) {
		Subparser platform = commands.addParser("platform").help("the log and the list of hosts");
		platform.addArgument("--listen").setDefault(ANY_LOOPBACK_PORT).help("ip:port");
		platform.addArgument("--append-delay-ms").type(Long.class).setDefault(5L);
		platform.addArgument("--append-rate-max").type(Integer.class).setDefault(400).help("appends a second");
		platform.addArgument("--host-list-lag-ms").type(Long.class).setDefault(2000L);
		platform.addArgument("--retention-records").type(Integer.class).setDefault(10_000).help("for each stream");
	}

	private static void addWorkers(Subparsers commands) {
		Subparser workers = commands.addParser("workers").help("the workers of a failure domain");
		workers.addArgument("--bind").setDefault("127.0.0.1").help("IP number of the workers");
		workers.addArgument("--count").type(Integer.class).setDefault(1);
		workers.addArgument("--domain").required(true);
		workers.addArgument("--rack").nargs("+").setDefault(List.of("r1"));
		workers.addArgument("--service").required(true);
		workers.addArgument("--slots").type(Integer.class).setDefault(8);
		workers.addArgument("--connections").type(Integer.class).setDefault(64);
		workers.addArgument("--platform").help("ip:port where the workers take leases");
		workers.addArgument("--admin").setDefault(ANY_LOOPBACK_PORT).help("ip:port");
	}

	private static Map<String, Object> startPlatform(Namespace options) {
		Listen listen = Listen.parse(options.getString("listen"));
		PlatformOptions platformOptions = new PlatformOptions(options.getLong("append_delay_ms"),
				options.getInt("append_rate_max"), options.getLong("host_list_lag_ms"),
				options.getInt("retention_records"));
		PlatformStandin platform = new PlatformStandin(platformOptions, TimeSource.system());
		HostAddress address = platform.open(listen.ip(), listen.port());
		closeAtExit(platform);
		return started(Map.of("platform", address.toString()));
	}

	private static Map<String, Object> startWorkers(Namespace options) {
		Listen listen = Listen.parse(options.getString("admin"));
		String platform = options.getString("platform");
		WorkerOptions workerOptions = new WorkerOptions(options.getString("bind"), options.getInt("count"),
				options.getString("domain"), options.getList("rack"), options.getString("service"),
				options.getInt("slots"), options.getInt("connections"),
				(platform != null) ? HostAddress.parse(platform.replaceFirst("^http://", "")) : null);
		WorkerFleet fleet = new WorkerFleet(workerOptions, TimeSource.system());
		List<String> workers = fleet.open().stream().map(HostAddress::toString).toList();
		closeAtExit(fleet);
		HostAddress admin = new WorkerAdmin(fleet).open(listen.ip(), listen.port());
		return started(Map.of("admin", admin.toString(), "workers", workers));
	}

	private static Map<String, Object> started(Map<String, Object> addresses) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("event", "started");
		line.putAll(new TreeMap<>(addresses));
		return line;
	}

	private static void closeAtExit(AutoCloseable closeable) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			try {
				closeable.close();
			}
			catch (Exception ex) {
				System.err.println("Not closed: " + ex);
			}
		}, "close-at-exit"));
	}

	/**
	 * Says where to listen.
	 *
	 * @param ip the IP number
	 * @param port the port, or 0 for one that the operating system chooses
	 */
	private record Listen(String ip, int port) {

		static Listen parse(String text) {
			int colon = text.lastIndexOf(':');
			try {
				return new Listen(text.substring(0, Math.max(0, colon)), Integer.parseInt(text.substring(colon + 1)));
			}
			catch (NumberFormatException ex) {
				throw new StandinException(ErrorCode.INVALID_SETTINGS, "Not ip:port: " + text, ex);
			}
		}

	}

}
