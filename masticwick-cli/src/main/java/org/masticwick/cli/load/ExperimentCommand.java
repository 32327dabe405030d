package org.masticwick.cli.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.HttpUrl;

import org.masticwick.cli.process.Arguments;
import org.masticwick.cli.process.Command;
import org.masticwick.cli.process.CommandResult;
import org.masticwick.cli.process.ExitCode;

/**
 * Runs the load runs of an experiment plan one after the other and prints a table of
 * their results.
 */
final class ExperimentCommand implements Command {

	@Override
	public String name() {
		return "experiment";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run the load runs of an experiment plan and print a table of results");
		Arguments.addHosts(parser);
		LoadCommand.addWorkerAdmins(parser);
		parser.addArgument("--slots")
			.type(Integer.class)
			.setDefault(0)
			.help("number of slots that serve each run; overrides the plan");
		parser.addArgument("--platform")
			.metavar("URL")
			.help("address of the platform; required if the plan sets rules");
		parser.addArgument("--out-dir").dest("directory").help("directory for the JSON report of each run");
		parser.addArgument("file").metavar("PLAN").help("experiment plan in TOML");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		ExperimentPlan plan = ExperimentPlan.load(Path.of(arguments.getString("file")));
		List<HttpUrl> hosts = Arguments.hosts(arguments);
		List<LoadReport> reports = new ArrayList<>();
		try (SiteProbe probe = new SiteProbe(hosts, LoadCommand.workerAdmins(arguments))) {
			for (ExperimentPlan.PlannedRun run : plan.runs()) {
				publishRules(arguments, hosts, run);
				LoadOptions options = run.options().withSlotCount(arguments.getInt("slots"));
				LoadReport report = new LoadRun(options, hosts, probe).run(run.faults());
				writeReport(arguments.getString("directory"), report);
				reports.add(report);
			}
		}
		boolean noViolations = reports.stream().allMatch((report) -> report.violations().isEmpty());
		ArrayNode json = JsonNodeFactory.instance.arrayNode();
		reports.forEach((report) -> json.add(report.toJson()));
		return new CommandResult(noViolations ? ExitCode.OK : ExitCode.FAILED, json,
				ReportFormatter.formatTable(reports));
	}

	private static void publishRules(Namespace arguments, List<HttpUrl> hosts, ExperimentPlan.PlannedRun run) {
		if (run.rules().isEmpty()) {
			return;
		}
		String platform = arguments.getString("platform");
		if (platform == null) {
			throw new InvalidPlanException("The plan sets rules, which requires --platform", null);
		}
		String noteId = "experiment-" + run.options().name() + "-" + UUID.randomUUID();
		new RulePublisher(Arguments.url(platform), hosts).publishAndAwait(noteId, run.rules());
	}

	private static void writeReport(String directory, LoadReport report) {
		if (directory == null) {
			return;
		}
		try {
			Path reportDirectory = Files.createDirectories(Path.of(directory));
			Files.writeString(reportDirectory.resolve(report.options().name() + ".json"),
					report.toJson().toPrettyString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
