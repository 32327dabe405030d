package org.masticwick.cli.load;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds counters of all hosts and workers at one moment.
 *
 * @param values the values by source, then by name
 */
record SiteCounters(Map<String, Map<String, Double>> values) {

	/** Prefix of messages that hosts sent, by kind. */
	static final String MESSAGES = "messages/";

	/** Prefix of wasted messages that hosts sent, by kind. */
	static final String WASTED = "wasted/";

	/** Prefix of messages that hosts sent each other, by type. */
	static final String PEER_MESSAGES = "peer-messages/";

	/** Prefix of the bytes of these messages, by type. */
	static final String PEER_BYTES = "peer-bytes/";

	/** Prefix of what workers counted. */
	static final String ENDPOINT = "endpoint/";

	/** The processor time that hosts used, in seconds. */
	static final String PROCESSOR_SECONDS = "processor-seconds";

	/**
	 * Returns what was counted since an earlier moment, summed over the sources. A source
	 * whose counter went back was started anew and counts in full.
	 * @param before the earlier moment
	 * @return the counts by name
	 */
	Map<String, Double> since(SiteCounters before) {
		Map<String, Double> sums = new TreeMap<>();
		this.values.forEach((source, now) -> {
			Map<String, Double> then = before.values().getOrDefault(source, Map.of());
			now.forEach((name, value) -> sums.merge(name, increase(then.getOrDefault(name, 0.0), value), Double::sum));
		});
		return sums;
	}

	/**
	 * Returns the counts under a prefix.
	 * @param counts the counts by name
	 * @param prefix the prefix
	 * @return the counts by the rest of the name
	 */
	static Map<String, Double> under(Map<String, Double> counts, String prefix) {
		Map<String, Double> result = new TreeMap<>();
		new HashMap<>(counts).forEach((name, value) -> {
			if (name.startsWith(prefix)) {
				result.put(name.substring(prefix.length()), value);
			}
		});
		return result;
	}

	private static double increase(double then, double now) {
		return (now >= then) ? now - then : now;
	}

}
