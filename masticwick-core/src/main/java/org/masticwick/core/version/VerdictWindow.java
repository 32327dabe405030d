package org.masticwick.core.version;

import java.util.Comparator;
import java.util.Map;

/**
 * Bounds what a state remembers of notes.
 */
final class VerdictWindow {

	private static final Comparator<Map.Entry<String, Verdict>> OLDEST_FIRST = Comparator
		.comparing((Map.Entry<String, Verdict> entry) -> entry.getValue().version())
		.thenComparing(Map.Entry::getKey);

	private VerdictWindow() {
	}

	/**
	 * Drops the verdicts that are out of the window, and the oldest rejections beyond
	 * their bound. A note whose verdict is out of the window has a base that is out of it
	 * too and is rejected.
	 * @param verdicts the verdicts; changed
	 * @param version the version in force
	 * @return the same map
	 */
	static Map<String, Verdict> trim(Map<String, Verdict> verdicts, long version) {
		long first = version - SiteState.VERDICT_WINDOW_VERSIONS;
		verdicts.values().removeIf((verdict) -> verdict.version() < first);
		long rejectedCount = verdicts.values().stream().filter((verdict) -> !verdict.accepted()).count();
		verdicts.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().accepted())
			.sorted(OLDEST_FIRST)
			.limit(Math.max(0, rejectedCount - SiteState.MAX_REJECTED_COUNT))
			.map(Map.Entry::getKey)
			.toList()
			.forEach(verdicts::remove);
		return verdicts;
	}

}
