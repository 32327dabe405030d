package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;

/**
 * Reads a release note from a tree of TOML or JSON, and the specs it holds.
 */
final class NoteReader {

	private static final Set<String> NOTE_KEYS = Set.of("id", "base", "services", "capacities", "rules");

	private static final Set<String> SERVICE_KEYS = Set.of("change", "name", "kinds", "lookup", "max_run_ms");

	private static final Set<String> CAPACITY_KEYS = Set.of("change", "address", "domain", "rack", "service", "slots",
			"connections", "processors", "memory_mb", "accelerators");

	private static final Set<String> RULE_KEYS = Set.of("change", "name", "value");

	private final boolean strict;

	private final List<NoteProblem> problems = new ArrayList<>();

	/**
	 * Creates a reader of one note.
	 * @param strict whether unknown keys and rules are problems
	 */
	NoteReader(boolean strict) {
		this.strict = strict;
	}

	/**
	 * Reads a note.
	 * @param source where it comes from, for the problems
	 * @param node the tree
	 * @return the note
	 * @throws InvalidNoteException if anything in it is wrong
	 */
	ReleaseNote read(String source, JsonNode node) {
		NoteTable table = new NoteTable(source, "", node, this.problems);
		allowOnly(table, NOTE_KEYS);
		ReleaseNote note = new ReleaseNote(table.text("id"), table.wholeNumber("base"),
				table.tables("services", this::readServiceChange), table.tables("capacities", this::readCapacityChange),
				table.tables("rules", this::readRuleChange));
		if (this.problems.isEmpty() && this.strict) {
			this.problems.addAll(NoteRules.check(source, note));
		}
		if (!this.problems.isEmpty()) {
			throw new InvalidNoteException(this.problems);
		}
		return note;
	}

	static ServiceSpec readService(NoteTable table) {
		return new ServiceSpec(table.text("name"), table.optionalTexts("kinds"), table.flag("lookup"),
				table.wholeNumber("max_run_ms"));
	}

	static Optional<EndpointSpec> readCapacity(NoteTable table) {
		Optional<HostAddress> address = readAddress(table);
		EndpointSpec spec = new EndpointSpec(address.orElse(null), table.text("domain"), table.text("rack"),
				table.text("service"), table.count("slots"), table.count("connections"), table.count("processors"),
				table.wholeNumber("memory_mb"), table.optionalCount("accelerators"));
		return address.map((known) -> spec);
	}

	private Optional<NoteChange.OfService> readServiceChange(NoteTable table) {
		allowOnly(table, SERVICE_KEYS);
		Optional<ChangeKind> change = readChange(table);
		String name = table.text("name");
		ServiceSpec spec = (change.filter(ChangeKind.WITHDRAW::equals).isPresent()) ? null : readService(table);
		return change.map((kind) -> new NoteChange.OfService(kind, name, spec));
	}

	private Optional<NoteChange.OfCapacity> readCapacityChange(NoteTable table) {
		allowOnly(table, CAPACITY_KEYS);
		Optional<ChangeKind> change = readChange(table);
		if (change.filter(ChangeKind.WITHDRAW::equals).isPresent()) {
			return readAddress(table).map((address) -> new NoteChange.OfCapacity(ChangeKind.WITHDRAW, address, null));
		}
		Optional<EndpointSpec> spec = readCapacity(table);
		return change.flatMap((kind) -> spec.map((known) -> new NoteChange.OfCapacity(kind, known.address(), known)));
	}

	private Optional<NoteChange.OfRule> readRuleChange(NoteTable table) {
		allowOnly(table, RULE_KEYS);
		Optional<ChangeKind> change = readChange(table);
		String name = table.text("name");
		if (this.strict && !name.isEmpty() && KnownRules.find(name).isEmpty()) {
			table.report("name", "\"" + name + "\" is not a rule", KnownRules.ALLOWED_NAMES);
		}
		String value = (change.filter(ChangeKind.WITHDRAW::equals).isPresent()) ? null : table.text("value");
		return change.map((kind) -> new NoteChange.OfRule(kind, name, value));
	}

	private static Optional<ChangeKind> readChange(NoteTable table) {
		Optional<ChangeKind> change = ChangeKind.find(table.optionalText("change"));
		if (change.isEmpty()) {
			table.report("change", "is missing or unknown", ChangeKind.ALLOWED);
		}
		return change;
	}

	private static Optional<HostAddress> readAddress(NoteTable table) {
		String text = table.text("address");
		try {
			return Optional.of(HostAddress.parse(text));
		}
		catch (IllegalArgumentException ex) {
			table.report("address", "\"" + text + "\" is not an address", "\"ip:port\"");
			return Optional.empty();
		}
	}

	private void allowOnly(NoteTable table, Set<String> keys) {
		if (this.strict) {
			table.allowOnly(keys);
		}
	}

}
