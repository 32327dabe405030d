package org.masticwick.wire;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts messages and their bytes, frame headers included, by type of message.
 */
public final class TrafficCounters {

	private final Map<String, Counter> counters = new ConcurrentHashMap<>();

	/**
	 * Counts a received message.
	 * @param type the name of the message type
	 * @param sizeBytes the size of its frame in bytes
	 */
	public void received(String type, long sizeBytes) {
		Counter counter = counter(type);
		counter.inCount.increment();
		counter.inBytes.add(sizeBytes);
	}

	/**
	 * Counts a sent message.
	 * @param type the name of the message type
	 * @param sizeBytes the size of its frame in bytes
	 */
	public void sent(String type, long sizeBytes) {
		Counter counter = counter(type);
		counter.outCount.increment();
		counter.outBytes.add(sizeBytes);
	}

	/**
	 * Returns the current counts.
	 * @return the counts by name of the message type, sorted by name
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
	 * Counts of one message type.
	 *
	 * @param inCount the number of messages received
	 * @param inBytes the number of bytes received
	 * @param outCount the number of messages sent
	 * @param outBytes the number of bytes sent
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
