package org.masticwick.cli.load;

import java.util.List;
import java.util.Locale;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.HttpUrl;

import org.masticwick.cli.process.Arguments;
import org.masticwick.cli.process.Command;
import org.masticwick.cli.process.CommandResult;
import org.masticwick.cli.process.ExitCode;

/**
 * Sends a generated load to running hosts and reports response times, message counts and
 * violated guarantees.
 */
public final class LoadCommand implements Command {

	private static final long MILLIS_PER_SECOND = 1_000;

	@Override
	public String name() {
		return "load";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("send a reproducible load and report response times, message counts and violated guarantees");
		Arguments.addHosts(parser);
		addWorkerAdmins(parser);
		parser.addArgument("--slots").type(Integer.class).required(true).help("number of slots that serve the run");
		parser.addArgument("--load")
			.type(Double.class)
			.setDefault(0.8)
			.help("offered work as a fraction of the slots; default 0.8");
		parser.addArgument("--rate").type(Double.class).setDefault(0.0).help("jobs per second; overrides --load");
		parser.addArgument("--mix")
			.choices(WorkloadMix.names())
			.setDefault("guild")
			.help("mix of services, task kinds and job sizes to submit");
		parser.addArgument("--pattern").choices("steady", "burst").setDefault("steady");
		parser.addArgument("--duration-s").dest("duration").type(Integer.class).setDefault(20);
		parser.addArgument("--warmup-s").dest("warmup").type(Integer.class).setDefault(2);
		parser.addArgument("--deadline-ms").dest("deadline").type(Integer.class).setDefault(60_000);
		parser.addArgument("--urgent").type(Double.class).setDefault(0.1).help("fraction of urgent jobs");
		parser.addArgument("--resubmit-fraction").dest("resubmit").type(Double.class).setDefault(0.0);
		parser.addArgument("--cancel-waves-ms")
			.dest("cancel")
			.type(Integer.class)
			.setDefault(0)
			.help("interval between waves of cancellations; 0 disables them");
		parser.addArgument("--cancel-fraction").dest("cancelled").type(Double.class).setDefault(0.2);
		parser.addArgument("--teams").type(Integer.class).setDefault(8);
		parser.addArgument("--seed").type(Long.class).setDefault(1L);
		parser.addArgument("--name").setDefault("load").help("name of the run in the report");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		List<HttpUrl> hosts = Arguments.hosts(arguments);
		try (SiteProbe probe = new SiteProbe(hosts, workerAdmins(arguments))) {
			LoadReport report = new LoadRun(options(arguments), hosts, probe).run(List.of());
			ExitCode exitCode = report.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
			return new CommandResult(exitCode, report.toJson(), ReportFormatter.format(report));
		}
	}

	static void addWorkerAdmins(Subparser parser) {
		parser.addArgument("--workers-admin")
			.dest("admins")
			.metavar("URL[,URL...]")
			.setDefault("")
			.help("admin addresses of the stand-in workers; required to check task starts");
	}

	static List<HttpUrl> workerAdmins(Namespace arguments) {
		return Arguments.urls(arguments.getString("admins"));
	}

	private static LoadOptions options(Namespace arguments) {
		ArrivalPattern pattern = ArrivalPattern.valueOf(arguments.getString("pattern").toUpperCase(Locale.ROOT));
		return new LoadOptions(arguments.getString("name"), arguments.getLong("seed"), arguments.getString("mix"),
				pattern, arguments.getInt("duration") * MILLIS_PER_SECOND,
				arguments.getInt("warmup") * MILLIS_PER_SECOND, arguments.getDouble("rate"),
				arguments.getDouble("load"), arguments.getInt("slots"), arguments.getInt("deadline"),
				arguments.getDouble("urgent"), arguments.getDouble("resubmit"), arguments.getInt("cancel"),
				arguments.getDouble("cancelled"), arguments.getInt("teams"));
	}

}
