package org.masticwick.core.connection;

import java.util.HashMap;
import java.util.Map;

/**
 * Applies a load report that holds changed entries only.
 */
final class LoadChanges {

	private static final ServiceLoad NO_SERVICE_LOAD = new ServiceLoad(0, 0, 0, 0);

	private LoadChanges() {
	}

	/**
	 * Returns a report with the entries of another put in. Entries of zeros are taken
	 * away.
	 * @param base the report
	 * @param changes the changed entries
	 * @return the changed report
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
