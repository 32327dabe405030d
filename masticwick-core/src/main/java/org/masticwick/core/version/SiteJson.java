package org.masticwick.core.version;

import java.util.Comparator;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes release notes and states of the site as JSON. Keys and array elements are
 * written in a fixed order, so that equal values have equal text and equal digests.
 */
final class SiteJson {

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private SiteJson() {
	}

	static String digest(ReleaseNote note) {
		return Digests.of(write(note).toString());
	}

	static ObjectNode write(ReleaseNote note) {
		ObjectNode node = NODES.objectNode().put("id", note.id()).put("base", note.baseVersion());
		node.set("services", array(note.services().stream(), SiteJson::writeChange));
		node.set("capacities", array(note.capacities().stream(), SiteJson::writeChange));
		node.set("rules", array(note.rules().stream(), SiteJson::writeChange));
		return node;
	}

	static ObjectNode write(SiteState state) {
		SiteVersion version = state.version();
		ObjectNode node = NODES.objectNode()
			.put("version", version.number())
			.put("next_offset", state.nextOffset())
			.put("history", state.historyHash());
		node.set("services", array(version.services().values().stream().sorted(Comparator.comparing(ServiceSpec::name)),
				SiteJson::writeService));
		node.set("capacities",
				array(version.endpoints().values().stream().sorted(Comparator.comparing(EndpointSpec::address)),
						SiteJson::writeCapacity));
		ObjectNode rules = node.putObject("rules");
		new TreeMap<>(version.rules().values()).forEach(rules::put);
		ObjectNode changedAt = node.putObject("changed_at");
		state.changedAt().forEach((key, number) -> changedAt.put(key.toString(), number));
		ObjectNode verdicts = node.putObject("verdicts");
		state.verdicts().forEach((id, verdict) -> writeVerdict(verdicts.putObject(id), verdict));
		node.set("recent_notes",
				array(state.recentNotes().stream(), (note, target) -> target.setAll(SiteJson.write(note))));
		return node;
	}

	private static void writeVerdict(ObjectNode node, Verdict verdict) {
		node.put("accepted", verdict.accepted())
			.put("version", verdict.version())
			.put("reason", verdict.reason())
			.put("digest", verdict.digest());
	}

	private static void writeChange(NoteChange change, ObjectNode node) {
		node.put("change", change.kind().text());
		if (change instanceof NoteChange.OfService service) {
			node.put("name", service.name());
			writeIfPresent(service.spec(), node, SiteJson::writeService);
		}
		else if (change instanceof NoteChange.OfCapacity capacity) {
			node.put("address", capacity.address().toString());
			writeIfPresent(capacity.spec(), node, SiteJson::writeCapacity);
		}
		else if (change instanceof NoteChange.OfRule rule) {
			node.put("name", rule.name());
			writeIfPresent(rule.value(), node, (value, target) -> target.put("value", value));
		}
	}

	private static void writeService(ServiceSpec spec, ObjectNode node) {
		node.put("name", spec.name());
		ArrayNode kinds = node.putArray("kinds");
		spec.kinds().stream().sorted().forEach(kinds::add);
		node.put("lookup", spec.lookup()).put("max_run_ms", spec.maxRunTimeMillis());
	}

	private static void writeCapacity(EndpointSpec spec, ObjectNode node) {
		node.put("address", spec.address().toString())
			.put("domain", spec.domain())
			.put("rack", spec.rack())
			.put("service", spec.service())
			.put("slots", spec.slotCount())
			.put("connections", spec.connectionCount())
			.put("processors", spec.processorCount())
			.put("memory_mb", spec.memoryMegabytes())
			.put("accelerators", spec.acceleratorCount());
	}

	private static <T> void writeIfPresent(T value, ObjectNode node, BiConsumer<T, ObjectNode> writer) {
		if (value != null) {
			writer.accept(value, node);
		}
	}

	private static <T> ArrayNode array(Stream<T> values, BiConsumer<? super T, ObjectNode> writer) {
		ArrayNode array = NODES.arrayNode();
		values.forEach((value) -> writer.accept(value, array.addObject()));
		return array;
	}

}
