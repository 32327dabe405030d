package org.masticwick.core.connection;

import java.util.HashMap;
import java.util.Map;

/**
 * Applies load reports that contain only the changed entries.
 */
final class LoadChanges {

	private static final ServiceLoad NO_SERVICE_LOAD = new ServiceLoad(0, 0, 0, 0);

	private LoadChanges() {
	}

	/**
	 * Returns a complete report with changed entries applied. An entry whose new value is
	 * zero is removed.
	 * @param base the complete report
	 * @param changes the changed entries
	 * @return the updated complete report
	 */
	static LoadReport apply(LoadReport base, LoadReport changes) {
		return new LoadReport(apply(base.services(), changes.services(), NO_SERVICE_LOAD),
				apply(base.outstanding(), changes.outstanding(), 0),
				apply(base.teamRunning(), changes.teamRunning(), 0));
	}

	private static <K, V> Map<K, V> apply(Map<K, V> base, Map<K, V> changes, V zero) {
		if (changes.isEmpty()) {
			return base;
		}
		Map<K, V> result = new HashMap<>(base);
		result.putAll(changes);
		result.values().removeIf(zero::equals);
		return Map.copyOf(result);
	}

}
