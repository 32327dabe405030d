package org.masticwick.standin.process;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * Tells how many of the next replies have a fault: a number, or {@code true} for all.
 *
 * @param value the count
 */
record FaultCount(int value) {

	/** No reply has the fault. */
	static final FaultCount NONE = new FaultCount(0);

	/** All replies have the fault. */
	static final FaultCount ALL = new FaultCount(Integer.MAX_VALUE);

	/**
	 * Reads a number.
	 * @param value the count
	 * @return the count
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	static FaultCount of(int value) {
		return new FaultCount(value);
	}

	/**
	 * Reads a truth value.
	 * @param value whether all replies have the fault
	 * @return the count
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	static FaultCount of(boolean value) {
		return value ? ALL : NONE;
	}

	/**
	 * Returns what is left after one reply.
	 * @return the count
	 */
	FaultCount decremented() {
		return (this.value == 0 || this.value == Integer.MAX_VALUE) ? this : new FaultCount(this.value - 1);
	}

}
