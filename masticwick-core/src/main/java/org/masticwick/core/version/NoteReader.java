package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;

/**
 * Reads a release note, and the services and capacities in it, from a parsed TOML or JSON
 * document.
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
	 * @param strict whether unknown keys, unknown rules and values out of bounds are
	 * problems, as for a note that an operator wrote; a note from the log is read
	 * leniently, since a later release may have written it
	 */
	NoteReader(boolean strict) {
		this.strict = strict;
	}

	/**
	 * Reads a note.
	 * @param source the origin of the note, which the problems name
	 * @param node the root of the document
	 * @return the note
	 * @throws InvalidNoteException if the note has problems; the exception lists all of
	 * them
	 */
	ReleaseNote read(String source, JsonNode node) {
		NoteTable table = new NoteTable(source, "", node, this.problems);
		checkKeys(table, NOTE_KEYS);
		ReleaseNote note = new ReleaseNote(table.text("id"), table.longValue("base"),
				table.readTables("services", this::readServiceChange),
				table.readTables("capacities", this::readCapacityChange),
				table.readTables("rules", this::readRuleChange));
		if (this.problems.isEmpty() && this.strict) {
			this.problems.addAll(NoteValidator.check(source, note));
		}
		if (!this.problems.isEmpty()) {
			throw new InvalidNoteException(this.problems);
		}
		return note;
	}

	static ServiceSpec readService(NoteTable table) {
		return new ServiceSpec(table.text("name"), table.optionalTexts("kinds"), table.booleanValue("lookup"),
				table.longValue("max_run_ms"));
	}

	static Optional<EndpointSpec> readCapacity(NoteTable table) {
		Optional<HostAddress> address = readAddress(table);
		EndpointSpec spec = new EndpointSpec(address.orElse(null), table.text("domain"), table.text("rack"),
				table.text("service"), table.intValue("slots"), table.intValue("connections"),
				table.intValue("processors"), table.longValue("memory_mb"), table.optionalIntValue("accelerators"));
		return address.map((validAddress) -> spec);
	}

	private Optional<NoteChange.OfService> readServiceChange(NoteTable table) {
		checkKeys(table, SERVICE_KEYS);
		Optional<ChangeKind> kind = readChangeKind(table);
		String name = table.text("name");
		ServiceSpec spec = (kind.filter(ChangeKind.WITHDRAW::equals).isPresent()) ? null : readService(table);
		return kind.map((changeKind) -> new NoteChange.OfService(changeKind, name, spec));
	}

	private Optional<NoteChange.OfCapacity> readCapacityChange(NoteTable table) {
		checkKeys(table, CAPACITY_KEYS);
		Optional<ChangeKind> kind = readChangeKind(table);
		if (kind.filter(ChangeKind.WITHDRAW::equals).isPresent()) {
			return readAddress(table).map((address) -> new NoteChange.OfCapacity(ChangeKind.WITHDRAW, address, null));
		}
		Optional<EndpointSpec> spec = readCapacity(table);
		return kind.flatMap((changeKind) -> spec
			.map((capacity) -> new NoteChange.OfCapacity(changeKind, capacity.address(), capacity)));
	}

	private Optional<NoteChange.OfRule> readRuleChange(NoteTable table) {
		checkKeys(table, RULE_KEYS);
		Optional<ChangeKind> kind = readChangeKind(table);
		String name = table.text("name");
		if (this.strict && !name.isEmpty() && RuleType.find(name).isEmpty()) {
			table.addProblem("name", "\"" + name + "\" is not a rule", RuleType.ALLOWED_NAMES);
		}
		String value = (kind.filter(ChangeKind.WITHDRAW::equals).isPresent()) ? null : table.text("value");
		if (this.strict && value != null && !value.isEmpty()) {
			checkValueIgnoredOnAcceptance(table, name, value);
		}
		return kind.map((changeKind) -> new NoteChange.OfRule(changeKind, name, value));
	}

	private static void checkValueIgnoredOnAcceptance(NoteTable table, String name, String value) {
		RuleType.find(name)
			.filter((type) -> !type.validatedOnAcceptance() && !type.allows(value))
			.ifPresent((type) -> table.addProblem("value", "\"" + value + "\" is not a value of " + name,
					type.allowedValues()));
	}

	private static Optional<ChangeKind> readChangeKind(NoteTable table) {
		Optional<ChangeKind> kind = ChangeKind.find(table.optionalText("change"));
		if (kind.isEmpty()) {
			table.addProblem("change", "is missing or unknown", ChangeKind.ALLOWED_TEXTS);
		}
		return kind;
	}

	private static Optional<HostAddress> readAddress(NoteTable table) {
		String text = table.text("address");
		try {
			return Optional.of(HostAddress.parse(text));
		}
		catch (IllegalArgumentException ex) {
			table.addProblem("address", "\"" + text + "\" is not an address", "\"ip:port\"");
			return Optional.empty();
		}
	}

	private void checkKeys(NoteTable table, Set<String> keys) {
		if (this.strict) {
			table.reportUnknownKeys(keys);
		}
	}

}
