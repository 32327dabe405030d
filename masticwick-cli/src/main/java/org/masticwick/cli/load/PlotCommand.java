package org.masticwick.cli.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

import org.masticwick.cli.process.Command;
import org.masticwick.cli.process.CommandResult;
import org.masticwick.cli.process.ExitCode;

/**
 * Plots the response-time ratios of reports of load runs.
 */
final class PlotCommand implements Command {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	@Override
	public String name() {
		return "plot";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("plot the ratios of response time to ideal response time of JSON reports");
		parser.addArgument("--out")
			.required(true)
			.metavar("FILE.png|FILE.svg")
			.help("file to write; SVG if its name ends in .svg, else PNG");
		parser.addArgument("files").nargs("+").metavar("REPORT").help("JSON reports written by load or experiment");
	}

	@Override
	public CommandResult run(Namespace arguments) {
		System.setProperty("java.awt.headless", "true");
		Path out = Path.of(arguments.getString("out"));
		List<String> files = arguments.getList("files");
		Map<String, JsonNode> reports = new LinkedHashMap<>();
		try {
			for (String file : files) {
				addReport(reports, MAPPER.readTree(Files.readString(Path.of(file))));
			}
			RatioPlot.write(RatioPlot.draw(reports), out);
		}
		catch (JsonProcessingException ex) {
			throw new InvalidPlanException("Report is not valid JSON: " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return new CommandResult(ExitCode.OK, JsonNodeFactory.instance.objectNode().put("file", out.toString()),
				"wrote " + out);
	}

	private static void addReport(Map<String, JsonNode> reports, JsonNode json) {
		if (json.isArray()) {
			json.forEach((report) -> addReport(reports, report));
		}
		else {
			String name = json.path("options").path("name").asText("report");
			String uniqueName = reports.containsKey(name) ? name + " " + (reports.size() + 1) : name;
			reports.put(uniqueName, json);
		}
	}

}
