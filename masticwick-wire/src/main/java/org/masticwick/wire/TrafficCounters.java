package org.masticwick.wire;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts messages and their bytes by type of message, frame headers included.
 */
public final class TrafficCounters {

	private final Map<String, Counter> counters = new ConcurrentHashMap<>();

	/**
	 * Counts a message that came in.
	 * @param type the name of the type
	 * @param sizeBytes its size in bytes
	 */
	public void received(String type, long sizeBytes) {
		Counter counter = counter(type);
		counter.inCount.increment();
		counter.inBytes.add(sizeBytes);
	}

	/**
	 * Counts a message that went out.
	 * @param type the name of the type
	 * @param sizeBytes its size in bytes
	 */
	public void sent(String type, long sizeBytes) {
		Counter counter = counter(type);
		counter.outCount.increment();
		counter.outBytes.add(sizeBytes);
	}

	/**
	 * Returns the counts as they are now.
	 * @return the counts by name of the type, in the order of the names
	 */
	public Map<String, Traffic> snapshot() {
		Map<String, Traffic> result = new TreeMap<>();
		this.counters.forEach((type, counter) -> result.put(type, counter.toTraffic()));
		return result;
	}

	private Counter counter(String type) {
		return this.counters.computeIfAbsent(type, (key) -> new Counter());
	}

	/**
	 * Holds the counts of one type of message.
	 *
	 * @param inCount messages received
	 * @param inBytes bytes received
	 * @param outCount messages sent
	 * @param outBytes bytes sent
	 */
	public record Traffic(long inCount, long inBytes, long outCount, long outBytes) {
	}

	private static final class Counter {

		private final LongAdder inCount = new LongAdder();

		private final LongAdder inBytes = new LongAdder();

		private final LongAdder outCount = new LongAdder();

		private final LongAdder outBytes = new LongAdder();

		Traffic toTraffic() {
			return new Traffic(this.inCount.sum(), this.inBytes.sum(), this.outCount.sum(), this.outBytes.sum());
		}

	}

}
