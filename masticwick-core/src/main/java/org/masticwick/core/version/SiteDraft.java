package org.masticwick.core.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Applies the changes of one release note to a mutable copy of a state, which becomes the
 * next version of the site if the note is accepted.
 */
final class SiteDraft {

	private final SiteState state;

	private final long versionNumber;

	private final Map<String, ServiceSpec> services;

	private final Map<HostAddress, EndpointSpec> endpoints;

	private final Map<String, String> rules;

	private final Map<EntityKey, Long> changedAt;

	SiteDraft(SiteState state, long versionNumber) {
		this.state = state;
		this.versionNumber = versionNumber;
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
			putOrRemove(this.services, service.name(), service.spec());
		}
		else if (change instanceof NoteChange.OfCapacity capacity) {
			putOrRemove(this.endpoints, capacity.address(), capacity.spec());
		}
		else if (change instanceof NoteChange.OfRule rule) {
			putOrRemove(this.rules, rule.name(), rule.value());
		}
		this.changedAt.put(change.key(), this.versionNumber);
	}

	/**
	 * Returns the endpoints that name a service which does not exist in this draft.
	 * @return the endpoints in the order of their addresses
	 */
	List<EndpointSpec> endpointsWithoutService() {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> !this.services.containsKey(endpoint.service()))
			.sorted((left, right) -> left.address().compareTo(right.address()))
			.toList();
	}

	SiteState accept(ReleaseNote note) {
		Map<String, Verdict> verdicts = new HashMap<>(this.state.verdicts());
		verdicts.put(note.id(), Verdict.accepted(this.versionNumber, SiteJson.digest(note)));
		List<ReleaseNote> recentNotes = new ArrayList<>(this.state.recentNotes());
		recentNotes.add(note);
		int dropCount = Math.max(0, recentNotes.size() - SiteState.MAX_RECENT_NOTE_COUNT);
		removeExpiredWithdrawals();
		SiteVersion version = new SiteVersion(this.versionNumber, this.services, this.endpoints, new Rules(this.rules));
		return new SiteState(version, this.state.nextOffset(), this.state.historyHash(), this.changedAt,
				VerdictWindow.trim(verdicts, this.versionNumber), recentNotes.subList(dropCount, recentNotes.size()));
	}

	private void removeExpiredWithdrawals() {
		long oldestVersion = this.versionNumber - SiteState.VERDICT_WINDOW_VERSIONS;
		this.changedAt.entrySet().removeIf((entry) -> entry.getValue() < oldestVersion && !exists(entry.getKey()));
	}

	private static <K, V> void putOrRemove(Map<K, V> map, K key, V value) {
		if (value != null) {
			map.put(key, value);
		}
		else {
			map.remove(key);
		}
	}

}
