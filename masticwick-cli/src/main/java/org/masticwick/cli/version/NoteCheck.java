package org.masticwick.cli.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.DispatchRules;
import org.masticwick.core.request.internal.PolicyNames;
import org.masticwick.core.version.Acceptance;
import org.masticwick.core.version.ChangeKind;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.EntityKey;
import org.masticwick.core.version.NoteChange;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.core.version.SiteState;
import org.masticwick.core.version.SiteVersion;
import org.masticwick.core.version.Verdict;

/**
 * Checks a release note, whose values are valid, against the state of a site before it is
 * published. Reports what would get the note rejected, what can't take effect in the
 * version after the note, and what the note changes. Depends on its arguments alone.
 */
public final class NoteCheck {

	private static final String UNREAD_RULE_PREFIX = "limits/";

	private final List<NoteFinding> findings = new ArrayList<>();

	private final ReleaseNote note;

	private final SiteState state;

	private final SiteVersion resulting;

	private NoteCheck(ReleaseNote note, SiteState state) {
		this.note = note;
		this.state = state;
		this.resulting = apply(note, state.version());
	}

	/**
	 * Checks a note on its own, without the state of a site.
	 * @param note the note
	 * @return the findings, which are all warnings
	 */
	public static List<NoteFinding> check(ReleaseNote note) {
		NoteCheck check = new NoteCheck(note, SiteState.EMPTY);
		check.checkConnections();
		check.checkReaders();
		return check.findings;
	}

	/**
	 * Checks a note.
	 * @param note the note
	 * @param state the state that the note would be published to
	 * @return the findings, errors first
	 */
	public static List<NoteFinding> check(ReleaseNote note, SiteState state) {
		NoteCheck check = new NoteCheck(note, state);
		check.checkId();
		if (!state.verdicts().containsKey(note.id())) {
			check.checkChanges();
			check.checkVerdict();
		}
		check.checkConnections();
		check.checkReaders();
		check.checkServices();
		check.checkSpillWait();
		check.checkDrainedDomains();
		return check.findings.stream().sorted((left, right) -> left.severity().compareTo(right.severity())).toList();
	}

	/**
	 * Describes how the version after a note differs from the active one.
	 * @param note the note
	 * @param active the active version
	 * @return one description for each entity that differs, in the order of the note
	 */
	public static List<String> differences(ReleaseNote note, SiteVersion active) {
		Map<EntityKey, Map<String, String>> before = fieldsByEntity(active);
		Map<EntityKey, Map<String, String>> after = fieldsByEntity(apply(note, active));
		return note.changes()
			.map(NoteChange::key)
			.distinct()
			.filter((key) -> !before.getOrDefault(key, Map.of()).equals(after.getOrDefault(key, Map.of())))
			.map((key) -> describe(key, before.get(key), after.get(key)))
			.toList();
	}

	private void checkId() {
		Verdict verdict = this.state.verdicts().get(this.note.id());
		if (verdict == null) {
			return;
		}
		if (!verdict.appliesTo(this.note)) {
			error("id", "the id " + this.note.id() + " was used by another note");
		}
		else if (verdict.accepted()) {
			warn("id", "the note was accepted as version " + verdict.version() + "; publishing it again has no effect");
		}
		else {
			error("id", "the note was rejected and needs another id to be published again: " + verdict.reason());
		}
	}

	private void checkChanges() {
		Map<EntityKey, Map<String, String>> before = fieldsByEntity(this.state.version());
		Map<EntityKey, Map<String, String>> after = fieldsByEntity(this.resulting);
		this.note.changes().forEach((change) -> {
			EntityKey key = change.key();
			long changedAt = this.state.changedAt().getOrDefault(key, 0L);
			if (changedAt > this.note.baseVersion()) {
				error(key, "conflict: changed in version " + changedAt + ", after base " + this.note.baseVersion());
			}
			if (before.containsKey(key) == (change.kind() == ChangeKind.ADD)) {
				error(key, "can't " + change.kind().text() + ": the active version "
						+ (before.containsKey(key) ? "has it already" : "does not have it"));
			}
			else if (change.kind() == ChangeKind.CHANGE && before.get(key).equals(after.get(key))) {
				warn(key, "the change has no effect: the active version has these values");
			}
		});
		this.resulting.endpoints()
			.values()
			.stream()
			.filter((endpoint) -> !this.resulting.services().containsKey(endpoint.service()))
			.sorted((left, right) -> left.address().compareTo(right.address()))
			.forEach((endpoint) -> error(key(endpoint),
					"names the service " + endpoint.service() + ", which does not exist"));
	}

	/**
	 * Reports the reason of a rejection that no other check has found, such as an unknown
	 * base.
	 */
	private void checkVerdict() {
		Verdict verdict = Acceptance.decide(this.state, this.note).verdicts().get(this.note.id());
		boolean found = this.findings.stream().anyMatch((finding) -> finding.severity() == NoteFinding.Severity.ERROR);
		if (!verdict.accepted() && !found) {
			error("note", verdict.reason());
		}
	}

	private void checkServices() {
		Set<String> withCapacity = this.resulting.endpoints()
			.values()
			.stream()
			.map(EndpointSpec::service)
			.collect(Collectors.toSet());
		this.note.services()
			.stream()
			.filter((change) -> change.spec() != null && !withCapacity.contains(change.name()))
			.forEach((change) -> warn(change.key(), "no capacity runs the service, so all of its jobs are refused"));
	}

	private void checkConnections() {
		this.note.capacities()
			.stream()
			.map(NoteChange.OfCapacity::spec)
			.filter((spec) -> spec != null && spec.connectionCount() < spec.slotCount())
			.forEach((spec) -> warn(key(spec),
					"a running task holds a connection, and " + spec.connectionCount() + " connections are fewer than "
							+ spec.slotCount() + " slots: " + (spec.slotCount() - spec.connectionCount())
							+ " slots can never be used"));
	}

	/**
	 * Reports rules that no program reads, and values that are read as the default.
	 */
	private void checkReaders() {
		this.note.rules().stream().filter((change) -> change.value() != null).forEach((change) -> {
			List<String> policies = PolicyNames.byRule().get(change.name());
			if (change.name().startsWith(UNREAD_RULE_PREFIX)) {
				warn(change.key(), "has no effect: no program reads this rule");
			}
			else if (policies != null && !policies.contains(change.value())) {
				warn(change.key(), "\"" + change.value() + "\" is no policy, so the default is used; policies: "
						+ String.join(", ", policies));
			}
		});
	}

	private void checkSpillWait() {
		if (domains(this.resulting.endpoints().values().stream()).size() < 2) {
			this.note.rules()
				.stream()
				.filter((change) -> change.value() != null && change.name().equals(DispatchRules.SPILL_WAIT_MILLIS))
				.forEach((change) -> warn(change.key(),
						"has no effect: the capacities are not in several failure domains"));
		}
	}

	private void checkDrainedDomains() {
		Set<String> drainedDomains = this.resulting.rules().drainedDomains();
		if (drainedDomains.isEmpty()) {
			return;
		}
		EntityKey rule = new EntityKey(EntityKey.Type.RULE, Rules.DRAINED_DOMAINS);
		this.note.capacities()
			.stream()
			.filter((change) -> change.spec() != null && drainedDomains.contains(change.spec().domain()))
			.forEach((change) -> warn(change.key(),
					"receives no tasks: the failure domain " + change.spec().domain() + " is drained"));
		Set<String> domains = domains(this.resulting.endpoints().values().stream());
		drainedDomains.stream()
			.filter((domain) -> !domains.contains(domain))
			.forEach((domain) -> warn(rule, "no capacity is in the failure domain " + domain));
		this.resulting.services().keySet().stream().sorted().forEach((service) -> {
			Set<String> serviceDomains = domains(this.resulting.endpoints()
				.values()
				.stream()
				.filter((endpoint) -> endpoint.service().equals(service)));
			if (!serviceDomains.isEmpty() && drainedDomains.containsAll(serviceDomains)) {
				warn(rule, "drains every capacity of the service " + service + ", so all of its jobs are refused");
			}
		});
	}

	private static Set<String> domains(Stream<EndpointSpec> endpoints) {
		return endpoints.map(EndpointSpec::domain).collect(Collectors.toSet());
	}

	private static SiteVersion apply(ReleaseNote note, SiteVersion active) {
		Map<String, ServiceSpec> services = new HashMap<>(active.services());
		Map<HostAddress, EndpointSpec> endpoints = new HashMap<>(active.endpoints());
		Map<String, String> rules = new HashMap<>(active.rules().values());
		note.services().forEach((change) -> services.compute(change.name(), (name, old) -> change.spec()));
		note.capacities().forEach((change) -> endpoints.compute(change.address(), (address, old) -> change.spec()));
		note.rules().forEach((change) -> rules.compute(change.name(), (name, old) -> change.value()));
		return new SiteVersion(active.number(), services, endpoints, new Rules(rules));
	}

	private static Map<EntityKey, Map<String, String>> fieldsByEntity(SiteVersion version) {
		Map<EntityKey, Map<String, String>> fields = new HashMap<>();
		version.services()
			.values()
			.forEach((service) -> fields.put(new EntityKey(EntityKey.Type.SERVICE, service.name()), fields(service)));
		version.endpoints().values().forEach((endpoint) -> fields.put(key(endpoint), fields(endpoint)));
		version.rules()
			.values()
			.forEach((name, value) -> fields.put(new EntityKey(EntityKey.Type.RULE, name), Map.of("value", value)));
		return fields;
	}

	private static Map<String, String> fields(ServiceSpec service) {
		return Map.of("kinds", service.kinds().stream().sorted().toList().toString(), "lookup",
				Boolean.toString(service.lookup()), "max_run_ms", Long.toString(service.maxRunTimeMillis()));
	}

	private static Map<String, String> fields(EndpointSpec endpoint) {
		return Map.of("domain", endpoint.domain(), "rack", endpoint.rack(), "service", endpoint.service(), "slots",
				Integer.toString(endpoint.slotCount()), "connections", Integer.toString(endpoint.connectionCount()),
				"processors", Integer.toString(endpoint.processorCount()), "memory_mb",
				Long.toString(endpoint.memoryMegabytes()), "accelerators",
				Integer.toString(endpoint.acceleratorCount()));
	}

	private static String describe(EntityKey key, Map<String, String> before, Map<String, String> after) {
		if (before == null) {
			return key + " is added";
		}
		if (after == null) {
			return key + " is withdrawn";
		}
		return key + " changes: "
				+ after.keySet()
					.stream()
					.sorted()
					.filter((field) -> !before.get(field).equals(after.get(field)))
					.map((field) -> field + " " + before.get(field) + " -> " + after.get(field))
					.collect(Collectors.joining(", "));
	}

	private static EntityKey key(EndpointSpec endpoint) {
		return new EntityKey(EntityKey.Type.CAPACITY, endpoint.address().toString());
	}

	private void error(Object entity, String message) {
		this.findings.add(new NoteFinding(NoteFinding.Severity.ERROR, entity.toString(), message));
	}

	private void warn(Object entity, String message) {
		this.findings.add(new NoteFinding(NoteFinding.Severity.WARNING, entity.toString(), message));
	}

}
