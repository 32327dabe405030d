package org.masticwick.core.process;

import java.util.random.RandomGenerator;

/**
 * Identifies one incarnation of an entry host, from the start to the exit of its process.
 * Consists of the start time and random bits, since hosts have no durable disk for a
 * counter.
 *
 * @param startEpochMillis when the process started, in milliseconds since the epoch
 * @param randomBits random bits
 */
public record Incarnation(long startEpochMillis, long randomBits) implements Comparable<Incarnation> {

	private static final int RADIX = 36;

	/**
	 * Creates the identity of a process that starts now.
	 * @param time the clock
	 * @param random the random number generator
	 * @return the identity
	 */
	public static Incarnation create(TimeSource time, RandomGenerator random) {
		return new Incarnation(time.epochMillis(), random.nextLong(Long.MAX_VALUE));
	}

	/**
	 * Parses the text form that {@link #toString()} returns.
	 * @param text the text
	 * @return the identity
	 * @throws IllegalArgumentException if the text is not an incarnation
	 */
	public static Incarnation parse(String text) {
		int dash = text.indexOf('-');
		if (dash < 1) {
			throw new IllegalArgumentException("Not an incarnation: " + text);
		}
		return new Incarnation(Long.parseLong(text.substring(0, dash), RADIX),
				Long.parseLong(text.substring(dash + 1), RADIX));
	}

	@Override
	public int compareTo(Incarnation other) {
		int byStart = Long.compare(this.startEpochMillis, other.startEpochMillis);
		return (byStart != 0) ? byStart : Long.compare(this.randomBits, other.randomBits);
	}

	@Override
	public String toString() {
		return Long.toString(this.startEpochMillis, RADIX) + "-" + Long.toString(this.randomBits, RADIX);
	}

}
