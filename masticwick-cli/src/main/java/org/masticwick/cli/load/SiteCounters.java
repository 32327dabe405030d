package org.masticwick.cli.load;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds counters of all hosts and workers at one moment.
 *
 * @param valuesBySource the values by source, then by name
 */
record SiteCounters(Map<String, Map<String, Double>> valuesBySource) {

	/** Prefix of messages that hosts sent, by kind. */
	static final String MESSAGES_PREFIX = "messages/";

	/** Prefix of wasted messages that hosts sent, by kind. */
	static final String WASTED_MESSAGES_PREFIX = "wasted/";

	/** Prefix of messages that hosts sent each other, by type. */
	static final String PEER_MESSAGES_PREFIX = "peer-messages/";

	/** Prefix of the bytes of these messages, by type. */
	static final String PEER_BYTES_PREFIX = "peer-bytes/";

	/** Prefix of what workers counted. */
	static final String ENDPOINT_PREFIX = "endpoint/";

	/** The processor time that hosts used, in seconds. */
	static final String PROCESSOR_SECONDS = "processor-seconds";

	/**
	 * Returns what was counted since an earlier moment, summed over the sources. A source
	 * whose counter went back was started anew and counts in full.
	 * @param baseline the earlier moment
	 * @return the counts by name
	 */
	Map<String, Double> increaseSince(SiteCounters baseline) {
		Map<String, Double> sums = new TreeMap<>();
		this.valuesBySource.forEach((source, currentValues) -> {
			Map<String, Double> baselineValues = baseline.valuesBySource().getOrDefault(source, Map.of());
			currentValues.forEach((name, value) -> sums.merge(name,
					increase(baselineValues.getOrDefault(name, 0.0), value), Double::sum));
		});
		return sums;
	}

	/**
	 * Returns the counts under a prefix.
	 * @param counts the counts by name
	 * @param prefix the prefix
	 * @return the counts by the rest of the name
	 */
	static Map<String, Double> withPrefix(Map<String, Double> counts, String prefix) {
		Map<String, Double> result = new TreeMap<>();
		new HashMap<>(counts).forEach((name, value) -> {
			if (name.startsWith(prefix)) {
				result.put(name.substring(prefix.length()), value);
			}
		});
		return result;
	}

	private static double increase(double baseline, double current) {
		return (current >= baseline) ? current - baseline : current;
	}

}
