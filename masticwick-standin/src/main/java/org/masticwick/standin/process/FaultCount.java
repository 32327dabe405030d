package org.masticwick.standin.process;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * The number of upcoming responses that a fault applies to. In JSON it is a number, or
 * {@code true} for all and {@code false} for none.
 *
 * @param value the number of responses; {@link Integer#MAX_VALUE} stands for all
 */
record FaultCount(int value) {

	/** The fault applies to no response. */
	static final FaultCount NONE = new FaultCount(0);

	/** The fault applies to all responses until it is cleared. */
	static final FaultCount ALL = new FaultCount(Integer.MAX_VALUE);

	/**
	 * Creates a count from a JSON number.
	 * @param value the number of responses
	 * @return the count
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	static FaultCount of(int value) {
		return new FaultCount(value);
	}

	/**
	 * Creates a count from a JSON boolean.
	 * @param value whether the fault applies to all responses or to none
	 * @return the count
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	static FaultCount of(boolean value) {
		return value ? ALL : NONE;
	}

	/**
	 * Returns the count that remains after one more response.
	 * @return the count less one; {@link #NONE} and {@link #ALL} stay the same
	 */
	FaultCount decremented() {
		return (this.value == 0 || this.value == Integer.MAX_VALUE) ? this : new FaultCount(this.value - 1);
	}

}
