package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Collects the changes of one note on top of a state.
 */
final class SiteDraft {

	private final SiteState state;

	private final long number;

	private final Map<String, ServiceSpec> services;

	private final Map<HostAddress, EndpointSpec> endpoints;

	private final Map<String, String> rules;

	private final Map<EntityKey, Long> changedAt;

	SiteDraft(SiteState state, long number) {
		this.state = state;
		this.number = number;
		this.services = new HashMap<>(state.version().services());
		this.endpoints = new HashMap<>(state.version().endpoints());
		this.rules = new HashMap<>(state.version().rules().values());
		this.changedAt = new HashMap<>(state.changedAt());
	}

	boolean exists(EntityKey key) {
		return switch (key.type()) {
			case SERVICE -> this.services.containsKey(key.name());
			case CAPACITY -> this.endpoints.containsKey(HostAddress.parse(key.name()));
			case RULE -> this.rules.containsKey(key.name());
		};
	}

	void apply(NoteChange change) {
		if (change instanceof NoteChange.OfService service) {
			put(this.services, service.name(), service.spec());
		}
		else if (change instanceof NoteChange.OfCapacity capacity) {
			put(this.endpoints, capacity.address(), capacity.spec());
		}
		else if (change instanceof NoteChange.OfRule rule) {
			put(this.rules, rule.name(), rule.value());
		}
		this.changedAt.put(change.key(), this.number);
	}

	/**
	 * Returns the endpoints whose service the draft lacks.
	 * @return the endpoints
	 */
	List<EndpointSpec> orphans() {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> !this.services.containsKey(endpoint.service()))
			.sorted((left, right) -> left.address().compareTo(right.address()))
			.toList();
	}

	SiteState accept(ReleaseNote note) {
		Map<String, Verdict> verdicts = new HashMap<>(this.state.verdicts());
		verdicts.put(note.id(), Verdict.accepted(this.number, SiteJson.digest(note)));
		List<ReleaseNote> notes = new ArrayList<>(this.state.recentNotes());
		notes.add(note);
		int dropCount = Math.max(0, notes.size() - SiteState.MAX_RECENT_NOTE_COUNT);
		forgetWithdrawn();
		SiteVersion version = new SiteVersion(this.number, this.services, this.endpoints, new Rules(this.rules));
		return new SiteState(version, this.state.nextOffset(), this.state.historyHash(), this.changedAt,
				VerdictWindow.trim(verdicts, this.number), notes.subList(dropCount, notes.size()));
	}

	private void forgetWithdrawn() {
		long first = this.number - SiteState.VERDICT_WINDOW_VERSIONS;
		this.changedAt.entrySet().removeIf((entry) -> entry.getValue() < first && !exists(entry.getKey()));
	}

	private static <K, V> void put(Map<K, V> map, K key, V value) {
		if (value != null) {
			map.put(key, value);
		}
		else {
			map.remove(key);
		}
	}

}
