package org.masticwick.cli.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Formats reports as human-readable text.
 */
final class ReportFormatter {

	private static final String QUANTILES_FORMAT = "%-22s %8d  mean %9.3f  p50 %9.3f  p90 %9.3f  p99 %9.3f  p99.9 %9.3f  max %9.3f%n";

	private static final String TABLE_HEAD = "| run | load | goodput | single p50 | p90 | p99 | p99.9 | one queue p99 "
			+ "| jobs p50 | p90 | p99 | p99.9 | one queue p99 | refused/task | wasted/task | refused | failed | unknown | violations |\n"
			+ "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

	private static final String TABLE_ROW_FORMAT = "| %s | %.2f | %.2f | %.3f | %.3f | %.3f | %.3f | %.3f "
			+ "| %.3f | %.3f | %.3f | %.3f | %.3f | %.4f | %.4f | %d | %d | %d | %d |\n";

	private ReportFormatter() {
	}

	/**
	 * Formats one report as text.
	 * @param report the report
	 * @return the text
	 */
	static String format(LoadReport report) {
		LoadOptions options = report.options();
		StringBuilder text = new StringBuilder();
		appendFormatted(text, "run %s: seed %d, mix %s, %s, %d ms, %d slots%n", options.name(), options.seed(),
				options.mix(), options.pattern().name().toLowerCase(Locale.ROOT), options.durationMillis(),
				options.slotCount());
		appendFormatted(text, "sent %d jobs with %d tasks, load %.3f, goodput %.3f, %.0f tasks/s%n", report.jobCount(),
				report.taskCount(), report.offeredLoad(), report.goodput(), report.tasksPerSecond());
		appendFormatted(text, "outcomes %s%n", report.outcomes());
		appendFormatted(text, "problems %s%n", report.problems());
		text.append("response time over ideal, from the intended send time:\n");
		appendQuantiles(text, "  single tasks", report.singleRatio());
		appendQuantiles(text, "  jobs", report.jobRatio());
		appendQuantiles(text, "  single, one queue", report.centralSingleRatio());
		appendQuantiles(text, "  jobs, one queue", report.centralJobRatio());
		text.append("response time in ms:\n");
		appendQuantiles(text, "  single tasks", report.singleResponseMillis());
		appendQuantiles(text, "  jobs", report.jobResponseMillis());
		appendQuantiles(text, "  late in sending", report.sendLagMillis());
		appendFormatted(text, "started tasks %d, wasted messages per started task %.4f%n", report.startedTaskCount(),
				report.wastedPerStartedTask());
		appendFormatted(text, "messages of hosts %s%n", formatCounts(report.messages()));
		appendFormatted(text, "wasted messages of hosts %s%n", formatCounts(report.wastedMessages()));
		appendFormatted(text, "messages between hosts %s%n", formatCounts(report.peerMessages()));
		appendFormatted(text, "bytes between hosts %s%n", formatCounts(report.peerBytes()));
		appendFormatted(text, "counted by workers %s%n", formatCounts(report.endpointMessages()));
		appendFormatted(text, "processor time of hosts %.2f s, lost connections %d, resubmissions %d%n",
				report.hostProcessorSeconds(), report.lostConnectionCount(), report.resubmissionCount());
		appendFormatted(text, "violations %s", report.violations().isEmpty() ? "none" : report.violations());
		report.violationExamples().forEach((violation) -> appendFormatted(text, "%n  %s", violation));
		return text.toString();
	}

	/**
	 * Formats reports as a table with one row per report.
	 * @param reports the reports
	 * @return the table in Markdown
	 */
	static String formatTable(List<LoadReport> reports) {
		return TABLE_HEAD + reports.stream().map(ReportFormatter::formatTableRow).collect(Collectors.joining());
	}

	private static String formatTableRow(LoadReport report) {
		Quantiles single = report.singleRatio();
		Quantiles jobs = report.jobRatio();
		Map<String, Long> outcomes = report.outcomes();
		long violations = report.violations().values().stream().mapToLong(Long::longValue).sum();
		return TABLE_ROW_FORMAT.formatted(report.options().name(), report.offeredLoad(), report.goodput(), single.p50(),
				single.p90(), single.p99(), single.p999(), report.centralSingleRatio().p99(), jobs.p50(), jobs.p90(),
				jobs.p99(), jobs.p999(), report.centralJobRatio().p99(), refusedPerStartedTask(report),
				report.wastedPerStartedTask(), outcomes.getOrDefault("refused", 0L),
				outcomes.getOrDefault("failed", 0L), outcomes.getOrDefault("unknown", 0L), violations);
	}

	private static double refusedPerStartedTask(LoadReport report) {
		return report.wastedMessages().getOrDefault("refused", 0.0) / Math.max(1, report.startedTaskCount());
	}

	private static void appendQuantiles(StringBuilder text, String name, Quantiles quantiles) {
		if (quantiles.count() > 0) {
			appendFormatted(text, QUANTILES_FORMAT, name, quantiles.count(), quantiles.mean(), quantiles.p50(),
					quantiles.p90(), quantiles.p99(), quantiles.p999(), quantiles.max());
		}
	}

	private static String formatCounts(Map<String, Double> counts) {
		return counts.entrySet()
			.stream()
			.map((count) -> count.getKey() + " " + Math.round(count.getValue()))
			.collect(Collectors.joining(", ", "{", "}"));
	}

	private static void appendFormatted(StringBuilder text, String format, Object... values) {
		text.append(String.format(Locale.ROOT, format, values));
	}

}
