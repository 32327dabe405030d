package org.masticwick.standin.process;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the messages of one worker by kind.
 */
final class WorkerCounters {

	private final Map<Kind, LongAdder> counts = new EnumMap<>(Kind.class);

	WorkerCounters() {
		for (Kind kind : Kind.values()) {
			this.counts.put(kind, new LongAdder());
		}
	}

	/**
	 * Counts one.
	 * @param kind what is counted
	 */
	void add(Kind kind) {
		this.counts.get(kind).increment();
	}

	/**
	 * Returns the counts by name.
	 * @return the counts
	 */
	Map<String, Long> values() {
		Map<String, Long> values = new TreeMap<>();
		this.counts.forEach((kind, count) -> values.put(kind.name().toLowerCase(Locale.ROOT), count.sum()));
		return values;
	}

	/**
	 * Tells what is counted.
	 */
	enum Kind {

		/** Messages that ask for a start. */
		POSTS,

		/** Tasks that were started. */
		STARTED,

		/** Posts that were refused before the start. */
		REFUSED,

		/** Posts of a task that was started before. */
		DUPLICATES,

		/** Messages that look a task up. */
		LOOKUPS,

		/** Messages that cancel tasks. */
		CANCELS,

		/** Tasks that were cancelled while they ran. */
		CANCELLED_TASKS

	}

}
