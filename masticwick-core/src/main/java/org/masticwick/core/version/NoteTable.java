package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * Reads the fields of one table of a release note or of a state. A field that is missing
 * or has a wrong type is added to the problems, and a default value is returned instead
 * of it.
 */
final class NoteTable {

	private final String source;

	private final String path;

	private final JsonNode node;

	private final List<NoteProblem> problems;

	NoteTable(String source, String path, JsonNode node, List<NoteProblem> problems) {
		this.source = source;
		this.path = path;
		this.node = node;
		this.problems = problems;
	}

	String text(String key) {
		JsonNode value = this.node.path(key);
		if (value.isTextual()) {
			return value.textValue();
		}
		addProblem(key, value, "a quoted string");
		return "";
	}

	String optionalText(String key) {
		return (this.node.has(key)) ? text(key) : "";
	}

	long longValue(String key) {
		JsonNode value = this.node.path(key);
		if (value.isIntegralNumber() && value.canConvertToLong()) {
			return value.longValue();
		}
		addProblem(key, value, "a whole number");
		return 0;
	}

	int intValue(String key) {
		JsonNode value = this.node.path(key);
		if (value.isIntegralNumber() && value.canConvertToInt()) {
			return value.intValue();
		}
		addProblem(key, value, "a whole number up to " + Integer.MAX_VALUE);
		return 0;
	}

	int optionalIntValue(String key) {
		return (this.node.has(key)) ? intValue(key) : 0;
	}

	boolean booleanValue(String key) {
		JsonNode value = this.node.path(key);
		if (!value.isBoolean()) {
			addProblem(key, value, "true or false");
		}
		return value.booleanValue();
	}

	Set<String> optionalTexts(String key) {
		JsonNode value = this.node.path(key);
		boolean allTextual = value.isArray()
				&& StreamSupport.stream(value.spliterator(), false).allMatch(JsonNode::isTextual);
		if (!allTextual && !value.isMissingNode()) {
			addProblem(key, value, "an array of quoted strings");
			return Set.of();
		}
		return Set.copyOf(StreamSupport.stream(value.spliterator(), false).map(JsonNode::textValue).toList());
	}

	<T> List<T> readTables(String key, Function<NoteTable, Optional<T>> reader) {
		JsonNode value = this.node.path(key);
		if (!value.isArray() && !value.isMissingNode()) {
			addProblem(key, value, "[[" + key + "]] tables");
		}
		List<T> elements = new ArrayList<>();
		for (int i = 0; value.isArray() && i < value.size(); i++) {
			String elementPath = this.path + key + "[" + i + "]";
			if (value.get(i).isObject()) {
				reader.apply(new NoteTable(this.source, elementPath + ".", value.get(i), this.problems))
					.ifPresent(elements::add);
			}
			else {
				this.problems.add(new NoteProblem(this.source, elementPath, "is not a table", "[[" + key + "]]"));
			}
		}
		return elements;
	}

	void reportUnknownKeys(Set<String> keys) {
		this.node.fieldNames().forEachRemaining((key) -> {
			if (!keys.contains(key)) {
				addProblem(key, "is not a known key", String.join(", ", keys.stream().sorted().toList()));
			}
		});
	}

	void addProblem(String key, String message, String allowed) {
		this.problems.add(new NoteProblem(this.source, this.path + key, message, allowed));
	}

	private void addProblem(String key, JsonNode value, String allowed) {
		addProblem(key,
				(value instanceof MissingNode) ? "is missing" : value + " has the wrong type or is out of range",
				allowed);
	}

}
