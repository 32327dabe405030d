package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;

/**
 * Reads a state from a tree of JSON.
 */
final class StateReader {

	private final List<NoteProblem> problems = new ArrayList<>();

	/**
	 * Reads a state.
	 * @param source where it comes from, for the problems
	 * @param node the tree
	 * @return the state
	 * @throws InvalidNoteException if the tree does not hold a state
	 */
	SiteState read(String source, JsonNode node) {
		NoteTable table = new NoteTable(source, "", node, this.problems);
		Map<String, ServiceSpec> services = byKey(
				table.tables("services", (entry) -> Optional.of(NoteReader.readService(entry))), ServiceSpec::name);
		Map<HostAddress, EndpointSpec> endpoints = byKey(table.tables("capacities", NoteReader::readCapacity),
				EndpointSpec::address);
		SiteVersion version = new SiteVersion(table.wholeNumber("version"), services, endpoints,
				new Rules(readEntries(node.path("rules"), Function.identity(), JsonNode::asText)));
		Map<EntityKey, Long> changedAt = readEntries(node.path("changed_at"), EntityKey::parse, JsonNode::asLong);
		Map<String, Verdict> verdicts = readEntries(node.path("verdicts"), Function.identity(),
				StateReader::readVerdict);
		List<ReleaseNote> notes = new ArrayList<>();
		node.path("recent_notes").forEach((note) -> notes.add(new NoteReader(false).read(source, note)));
		SiteState state = new SiteState(version, table.wholeNumber("next_offset"), table.text("history"), changedAt,
				verdicts, notes);
		if (!this.problems.isEmpty()) {
			throw new InvalidNoteException(this.problems);
		}
		return state;
	}

	private static Verdict readVerdict(JsonNode node) {
		return new Verdict(node.path("accepted").asBoolean(), node.path("version").asLong(),
				node.path("reason").asText(), node.path("digest").asText());
	}

	private static <K, V> Map<K, V> byKey(List<V> values, Function<V, K> key) {
		return values.stream().collect(Collectors.toMap(key, Function.identity(), (first, second) -> second));
	}

	private static <K, V> Map<K, V> readEntries(JsonNode node, Function<String, K> key, Function<JsonNode, V> value) {
		Map<K, V> entries = new HashMap<>();
		node.properties().forEach((entry) -> entries.put(key.apply(entry.getKey()), value.apply(entry.getValue())));
		return entries;
	}

}
