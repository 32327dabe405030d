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
 * Reads a state of the site from a parsed JSON document.
 */
final class StateReader {

	private final List<NoteProblem> problems = new ArrayList<>();

	/**
	 * Reads a state.
	 * @param source the origin of the state, which the problems name
	 * @param node the root of the document
	 * @return the state
	 * @throws InvalidNoteException if a field is missing or has a wrong type, or if a
	 * recent note is invalid
	 * @throws IllegalArgumentException if a key of {@code changed_at} is not the key of
	 * an entity
	 */
	SiteState read(String source, JsonNode node) {
		NoteTable table = new NoteTable(source, "", node, this.problems);
		Map<String, ServiceSpec> services = byKey(
				table.readTables("services", (entry) -> Optional.of(NoteReader.readService(entry))), ServiceSpec::name);
		Map<HostAddress, EndpointSpec> endpoints = byKey(table.readTables("capacities", NoteReader::readCapacity),
				EndpointSpec::address);
		SiteVersion version = new SiteVersion(table.longValue("version"), services, endpoints,
				new Rules(readEntries(node.path("rules"), Function.identity(), JsonNode::asText)));
		Map<EntityKey, Long> changedAt = readEntries(node.path("changed_at"), EntityKey::parse, JsonNode::asLong);
		Map<String, Verdict> verdicts = readEntries(node.path("verdicts"), Function.identity(),
				StateReader::readVerdict);
		List<ReleaseNote> recentNotes = new ArrayList<>();
		node.path("recent_notes").forEach((note) -> recentNotes.add(new NoteReader(false).read(source, note)));
		SiteState state = new SiteState(version, table.longValue("next_offset"), table.text("history"), changedAt,
				verdicts, recentNotes);
		if (!this.problems.isEmpty()) {
			throw new InvalidNoteException(this.problems);
		}
		return state;
	}

	private static Verdict readVerdict(JsonNode node) {
		return new Verdict(node.path("accepted").asBoolean(), node.path("version").asLong(),
				node.path("reason").asText(), node.path("digest").asText());
	}

	private static <K, V> Map<K, V> byKey(List<V> values, Function<V, K> keyOf) {
		return values.stream().collect(Collectors.toMap(keyOf, Function.identity(), (first, last) -> last));
	}

	private static <K, V> Map<K, V> readEntries(JsonNode node, Function<String, K> keyReader,
			Function<JsonNode, V> valueReader) {
		Map<K, V> entries = new HashMap<>();
		node.properties()
			.forEach((entry) -> entries.put(keyReader.apply(entry.getKey()), valueReader.apply(entry.getValue())));
		return entries;
	}

}
