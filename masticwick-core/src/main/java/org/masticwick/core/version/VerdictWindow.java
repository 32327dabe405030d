package org.masticwick.core.version;

import java.util.Comparator;
import java.util.Map;

/**
 * Bounds how many verdicts on release notes a state keeps.
 */
final class VerdictWindow {

	private static final Comparator<Map.Entry<String, Verdict>> OLDEST_FIRST = Comparator
		.comparing((Map.Entry<String, Verdict> entry) -> entry.getValue().version())
		.thenComparing(Map.Entry::getKey);

	private VerdictWindow() {
	}

	/**
	 * Removes the verdicts on versions before the window, and the oldest rejections
	 * beyond {@link SiteState#MAX_REJECTED_COUNT}. A note whose verdict was removed by
	 * its age can't take effect a second time: its base version lies before the window
	 * too, so it is rejected as too old.
	 * @param verdicts the verdicts by note id; modified in place
	 * @param activeVersion the number of the active version
	 * @return the same map
	 */
	static Map<String, Verdict> trim(Map<String, Verdict> verdicts, long activeVersion) {
		long oldestVersion = activeVersion - SiteState.VERDICT_WINDOW_VERSIONS;
		verdicts.values().removeIf((verdict) -> verdict.version() < oldestVersion);
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
