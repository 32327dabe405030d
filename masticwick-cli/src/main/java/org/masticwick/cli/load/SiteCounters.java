package org.masticwick.cli.load;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Snapshot of the counters of all hosts and workers.
 *
 * @param valuesBySource the values of the counters by host or worker process, then by
 * name
 */
record SiteCounters(Map<String, Map<String, Double>> valuesBySource) {

	/** Prefix of the counters of messages that hosts sent; a message kind follows. */
	static final String MESSAGES_PREFIX = "messages/";

	/**
	 * Prefix of the counters of wasted messages that hosts sent; a kind of waste follows.
	 */
	static final String WASTED_MESSAGES_PREFIX = "wasted/";

	/** Prefix of the counters of messages between hosts; a message type follows. */
	static final String PEER_MESSAGES_PREFIX = "peer-messages/";

	/** Prefix of the counters of bytes sent between hosts; a message type follows. */
	static final String PEER_BYTES_PREFIX = "peer-bytes/";

	/** Prefix of the counters that workers report; the name of the counter follows. */
	static final String ENDPOINT_PREFIX = "endpoint/";

	/** Name of the counter of the processor time that a host used, in seconds. */
	static final String PROCESSOR_SECONDS = "processor-seconds";

	/**
	 * Returns the increase of each counter since an earlier snapshot, summed over all
	 * hosts and workers. A counter that is lower than before was reset by a restart of
	 * its process, so that its whole value counts as the increase.
	 * @param baseline the earlier snapshot
	 * @return the increases by name of the counter
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
	 * Returns the counters whose names start with a prefix.
	 * @param counts the values by name of the counter
	 * @param prefix the prefix
	 * @return the values by name without the prefix
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
