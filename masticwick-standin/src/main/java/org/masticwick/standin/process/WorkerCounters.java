package org.masticwick.standin.process;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the requests that one worker received and what became of the tasks.
 */
final class WorkerCounters {

	private final Map<Kind, LongAdder> adders = new EnumMap<>(Kind.class);

	WorkerCounters() {
		for (Kind kind : Kind.values()) {
			this.adders.put(kind, new LongAdder());
		}
	}

	/**
	 * Increments a counter.
	 * @param kind the counter
	 */
	void add(Kind kind) {
		this.adders.get(kind).increment();
	}

	/**
	 * Returns the values of all counters, also those that are zero.
	 * @return the values by the lower-case name of the kind
	 */
	Map<String, Long> values() {
		Map<String, Long> values = new TreeMap<>();
		this.adders.forEach((kind, adder) -> values.put(kind.name().toLowerCase(Locale.ROOT), adder.sum()));
		return values;
	}

	/**
	 * The counters of a worker. Their names in lower case are keys of
	 * {@code GET /admin/counters}.
	 */
	enum Kind {

		/** Requests to start a task, valid or not. */
		POSTS,

		/** Tasks that were started. */
		STARTED,

		/**
		 * Requests to start a task that were refused for another reason than a duplicate.
		 */
		REFUSED,

		/** Requests to start a task that the worker already runs or remembers. */
		DUPLICATES,

		/** Requests for the state of a task. */
		LOOKUPS,

		/** Requests to cancel one or more tasks. */
		CANCELS,

		/** Tasks that were cancelled while running. */
		CANCELLED_TASKS

	}

}
