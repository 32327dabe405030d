package org.masticwick.cli.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * A sequence of load runs. Values at the top of the plan, such as the seed, are defaults
 * for all runs; a run may override each of them.
 *
 * @param runs the runs in the order of execution
 */
record ExperimentPlan(List<PlannedRun> runs) {

	private static final TomlMapper MAPPER = new TomlMapper();

	private static final String RUNS_KEY = "runs";

	private static final String FAULTS_KEY = "faults";

	private static final String RULES_KEY = "rules";

	private static final Set<String> KEYS = Set.of("name", "seed", "mix", "pattern", "duration_ms", "warmup_ms", "rate",
			"load", "slots", "deadline_ms", "urgent", "resubmit_fraction", "cancel_waves_ms", "cancel_fraction",
			"teams", FAULTS_KEY, RULES_KEY);

	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * Reads a plan from a file.
	 * @param file the TOML file
	 * @return the plan
	 * @throws InvalidPlanException if the file can't be read or is not a valid plan
	 */
	static ExperimentPlan load(Path file) {
		try {
			return parse(Files.readString(file));
		}
		catch (IllegalArgumentException ex) {
			throw new InvalidPlanException(file + ": " + ex.getMessage(), ex);
		}
		catch (JsonProcessingException ex) {
			throw new InvalidPlanException(file + ": " + ex.getOriginalMessage(), ex);
		}
		catch (IOException ex) {
			throw new InvalidPlanException(file + ": " + ex, ex);
		}
	}

	/**
	 * Reads a plan from text.
	 * @param text the TOML text
	 * @return the plan
	 * @throws JsonProcessingException if the text is not valid TOML
	 * @throws InvalidPlanException if the plan has no runs or a run has an unknown key
	 * @throws IllegalArgumentException if the pattern or the mix of a run is unknown
	 */
	static ExperimentPlan parse(String text) throws JsonProcessingException {
		ObjectNode root = (ObjectNode) MAPPER.readTree(text);
		JsonNode runs = root.remove(RUNS_KEY);
		if (runs == null || runs.isEmpty()) {
			throw new InvalidPlanException("A plan requires at least one [[runs]] table", null);
		}
		List<PlannedRun> plannedRuns = new ArrayList<>();
		for (JsonNode runValues : runs) {
			ObjectNode mergedValues = root.deepCopy();
			mergedValues.setAll((ObjectNode) runValues);
			plannedRuns.add(parseRun(mergedValues));
		}
		return new ExperimentPlan(plannedRuns);
	}

	private static PlannedRun parseRun(ObjectNode values) {
		values.fieldNames().forEachRemaining((key) -> {
			if (!KEYS.contains(key)) {
				throw new InvalidPlanException("Unknown key " + key + "; allowed keys are " + KEYS, null);
			}
		});
		String pattern = values.path("pattern").asText("steady").toUpperCase(Locale.ROOT);
		LoadOptions options = new LoadOptions(values.path("name").asText("run"), values.path("seed").asLong(1),
				values.path("mix").asText("guild"), ArrivalPattern.valueOf(pattern),
				values.path("duration_ms").asLong(20 * MILLIS_PER_SECOND),
				values.path("warmup_ms").asLong(2 * MILLIS_PER_SECOND), values.path("rate").asDouble(0),
				values.path("load").asDouble(0.8), values.path("slots").asInt(1),
				values.path("deadline_ms").asLong(60 * MILLIS_PER_SECOND), values.path("urgent").asDouble(0.1),
				values.path("resubmit_fraction").asDouble(0), values.path("cancel_waves_ms").asLong(0),
				values.path("cancel_fraction").asDouble(0.2), values.path("teams").asInt(8));
		WorkloadMix.byName(options.mix());
		List<PlannedFault> faults = new ArrayList<>();
		values.path(FAULTS_KEY).forEach((fault) -> faults.add(parseFault((ObjectNode) fault)));
		Map<String, String> rules = new TreeMap<>();
		values.path(RULES_KEY).properties().forEach((rule) -> rules.put(rule.getKey(), rule.getValue().asText()));
		return new PlannedRun(options, rules, faults);
	}

	private static PlannedFault parseFault(ObjectNode values) {
		ObjectNode fault = values.deepCopy();
		fault.remove(List.of("at_ms", "admin"));
		return new PlannedFault(values.path("at_ms").asLong(0), values.path("admin").asInt(0), fault);
	}

	/**
	 * A load run of the plan with the rules and faults to apply.
	 *
	 * @param options the options of the load run
	 * @param rules the values of the rules to publish before the run, by rule name; empty
	 * to leave the active rules as they are
	 * @param faults the faults to inject during the run
	 */
	record PlannedRun(LoadOptions options, Map<String, String> rules, List<PlannedFault> faults) {

	}

}
