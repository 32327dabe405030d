package org.masticwick.fleet.process;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * A simulated clock, and the events that are due on it. Events run in the order of their
 * times, and in the order in which they were added if these are equal.
 */
final class VirtualTime implements Clock.Source {

	/** An arbitrary origin of both clocks. */
	private static final long START_MICROS = TimeUnit.DAYS.toMicros(1);

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::dueMicros).thenComparingLong(Event::number));

	private long nowMicros = START_MICROS;

	private long eventCount;

	/** The process whose task runs, for log lines. */
	private String place = "";

	long nowMicros() {
		return this.nowMicros;
	}

	/**
	 * Returns the time since the start of the simulation.
	 * @return the time in milliseconds
	 */
	long elapsedMillis() {
		return (this.nowMicros - START_MICROS) / 1_000;
	}

	String place() {
		return this.place;
	}

	/**
	 * Records which process runs a task.
	 * @param newPlace the name of the process
	 */
	void enter(String newPlace) {
		this.place = newPlace;
	}

	/**
	 * Adds an event.
	 * @param delayMicros after how long it is due, in microseconds
	 * @param action what happens
	 */
	void after(long delayMicros, Runnable action) {
		this.events.add(new Event(this.nowMicros + Math.max(0, delayMicros), this.eventCount++, action));
	}

	void afterMillis(long delayMillis, Runnable action) {
		after(TimeUnit.MILLISECONDS.toMicros(delayMillis), action);
	}

	/**
	 * Runs the events of a span of time.
	 * @param millis the length of the span in milliseconds
	 */
	void run(long millis) {
		long endMicros = this.nowMicros + TimeUnit.MILLISECONDS.toMicros(millis);
		while (!this.events.isEmpty() && this.events.peek().dueMicros() <= endMicros) {
			Event event = this.events.poll();
			this.nowMicros = event.dueMicros();
			event.action().run();
		}
		this.nowMicros = endMicros;
	}

	@Override
	public long monotonicMillis() {
		return TimeUnit.MICROSECONDS.toMillis(this.nowMicros);
	}

	@Override
	public long epochMillis() {
		return TimeUnit.MICROSECONDS.toMillis(this.nowMicros);
	}

	private record Event(long dueMicros, long number, Runnable action) {
	}

}
