package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Validates the values of a release note, independently of the state of the site.
 */
final class NoteValidator {

	private static final int MAX_NAME_LENGTH = 128;

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._~/-]*");

	private static final String ALLOWED_NAME = "1 to " + MAX_NAME_LENGTH
			+ " letters, digits, '.', '_', '~', '/' or '-', first a letter or digit";

	private static final int MAX_COUNT = 1_000_000;

	private static final long MAX_MEMORY_MEGABYTES = 1_000_000_000;

	private static final long MAX_RUN_TIME_MILLIS = 86_400_000;

	private final String source;

	private final List<NoteProblem> problems = new ArrayList<>();

	private NoteValidator(String source) {
		this.source = source;
	}

	/**
	 * Validates a note.
	 * @param source the origin of the note, which the problems name
	 * @param note the note
	 * @return the problems in the order of the fields of the note; empty if the note is
	 * valid
	 */
	static List<NoteProblem> check(String source, ReleaseNote note) {
		NoteValidator validator = new NoteValidator(source);
		validator.checkHeader(note);
		for (int i = 0; i < note.services().size(); i++) {
			validator.checkService("services[" + i + "]", note.services().get(i));
		}
		for (int i = 0; i < note.capacities().size(); i++) {
			validator.checkCapacity("capacities[" + i + "]", note.capacities().get(i));
		}
		for (int i = 0; i < note.rules().size(); i++) {
			validator.checkRule("rules[" + i + "]", note.rules().get(i));
		}
		validator.checkDuplicates(note);
		return validator.problems;
	}

	private void checkHeader(ReleaseNote note) {
		checkName("id", note.id());
		checkRange("base", note.baseVersion(), 0, Long.MAX_VALUE);
		if (note.changes().findAny().isEmpty()) {
			addProblem("services", "the note changes nothing",
					"at least one of [[services]], [[capacities]], [[rules]]");
		}
	}

	private void checkService(String path, NoteChange.OfService change) {
		checkName(path + ".name", change.name());
		ServiceSpec spec = change.spec();
		if (spec != null) {
			spec.kinds().stream().sorted().forEach((kind) -> checkName(path + ".kinds", kind));
			checkRange(path + ".max_run_ms", spec.maxRunTimeMillis(), 1, MAX_RUN_TIME_MILLIS);
		}
	}

	private void checkCapacity(String path, NoteChange.OfCapacity change) {
		EndpointSpec spec = change.spec();
		if (spec == null) {
			return;
		}
		checkName(path + ".domain", spec.domain());
		checkName(path + ".rack", spec.rack());
		checkName(path + ".service", spec.service());
		checkRange(path + ".slots", spec.slotCount(), 1, MAX_COUNT);
		checkRange(path + ".connections", spec.connectionCount(), 1, MAX_COUNT);
		checkRange(path + ".processors", spec.processorCount(), 1, MAX_COUNT);
		checkRange(path + ".memory_mb", spec.memoryMegabytes(), 1, MAX_MEMORY_MEGABYTES);
		checkRange(path + ".accelerators", spec.acceleratorCount(), 0, MAX_COUNT);
	}

	private void checkRule(String path, NoteChange.OfRule change) {
		checkName(path + ".name", change.name());
		Optional<RuleType> ruleType = RuleType.find(change.name()).filter(RuleType::validatedOnAcceptance);
		if (change.value() != null && ruleType.isPresent() && !ruleType.get().allows(change.value())) {
			addProblem(path + ".value", "\"" + change.value() + "\" is not a value of " + change.name(),
					ruleType.get().allowedValues());
		}
	}

	private void checkDuplicates(ReleaseNote note) {
		Set<EntityKey> changedKeys = new HashSet<>();
		note.changes()
			.map(NoteChange::key)
			.filter((key) -> !changedKeys.add(key))
			.forEach((key) -> addProblem(key.toString(), "is listed twice", "one change of an entity in a note"));
	}

	private void checkName(String key, String name) {
		if (name.length() > MAX_NAME_LENGTH || !NAME.matcher(name).matches()) {
			addProblem(key, "\"" + name + "\" is not a name", ALLOWED_NAME);
		}
	}

	private void checkRange(String key, long value, long min, long max) {
		if (value < min || value > max) {
			addProblem(key, value + " is out of bounds", min + " to " + max);
		}
	}

	private void addProblem(String key, String message, String allowed) {
		this.problems.add(new NoteProblem(this.source, key, message, allowed));
	}

}
