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
 * Reads the fields of one table of a note and collects what is wrong with them.
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
		report(key, value, "a text in quotes");
		return "";
	}

	String optionalText(String key) {
		return (this.node.has(key)) ? text(key) : "";
	}

	long wholeNumber(String key) {
		JsonNode value = this.node.path(key);
		if (value.isIntegralNumber() && value.canConvertToLong()) {
			return value.longValue();
		}
		report(key, value, "a whole number");
		return 0;
	}

	int count(String key) {
		JsonNode value = this.node.path(key);
		if (value.isIntegralNumber() && value.canConvertToInt()) {
			return value.intValue();
		}
		report(key, value, "a whole number up to " + Integer.MAX_VALUE);
		return 0;
	}

	int optionalCount(String key) {
		return (this.node.has(key)) ? count(key) : 0;
	}

	boolean flag(String key) {
		JsonNode value = this.node.path(key);
		if (!value.isBoolean()) {
			report(key, value, "true or false");
		}
		return value.booleanValue();
	}

	Set<String> optionalTexts(String key) {
		JsonNode value = this.node.path(key);
		boolean texts = value.isArray()
				&& StreamSupport.stream(value.spliterator(), false).allMatch(JsonNode::isTextual);
		if (!texts && !value.isMissingNode()) {
			report(key, value, "a list of texts in quotes");
			return Set.of();
		}
		return Set.copyOf(StreamSupport.stream(value.spliterator(), false).map(JsonNode::textValue).toList());
	}

	<T> List<T> tables(String key, Function<NoteTable, Optional<T>> reader) {
		JsonNode value = this.node.path(key);
		if (!value.isArray() && !value.isMissingNode()) {
			report(key, value, "[[" + key + "]] tables");
		}
		List<T> read = new ArrayList<>();
		for (int i = 0; value.isArray() && i < value.size(); i++) {
			String element = this.path + key + "[" + i + "]";
			if (value.get(i).isObject()) {
				reader.apply(new NoteTable(this.source, element + ".", value.get(i), this.problems))
					.ifPresent(read::add);
			}
			else {
				this.problems.add(new NoteProblem(this.source, element, "is not a table", "[[" + key + "]]"));
			}
		}
		return read;
	}

	void allowOnly(Set<String> keys) {
		this.node.fieldNames().forEachRemaining((key) -> {
			if (!keys.contains(key)) {
				report(key, "is not a key here", String.join(", ", keys.stream().sorted().toList()));
			}
		});
	}

	void report(String key, String message, String allowed) {
		this.problems.add(new NoteProblem(this.source, this.path + key, message, allowed));
	}

	private void report(String key, JsonNode value, String allowed) {
		report(key, (value instanceof MissingNode) ? "is missing" : value + " does not fit", allowed);
	}

}
