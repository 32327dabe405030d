package org.masticwick.core.request;

import java.util.Arrays;

/**
 * Tells what a site weighs more, and with it the defaults of the dispatch rules.
 */
public enum Weighting {

	/** Answers come as early as possible; some refused messages are fine. */
	RESPONSE_TIME("response-time", "owner", 2, 0.1, 20),

	/** Messages are saved; a task rather waits than being refused. */
	MESSAGES("messages", "owner", 3, 0.02, 2_000);

	private final String text;

	private final String defaultPlacement;

	private final int overflowReserveCount;

	private final double retriesPerStart;

	private final long defaultSpillWaitMillis;

	Weighting(String text, String defaultPlacement, int overflowReserveCount, double retriesPerStart,
			long defaultSpillWaitMillis) {
		this.text = text;
		this.defaultPlacement = defaultPlacement;
		this.overflowReserveCount = overflowReserveCount;
		this.retriesPerStart = retriesPerStart;
		this.defaultSpillWaitMillis = defaultSpillWaitMillis;
	}

	/**
	 * Reads the value of the rule {@code dispatch/weighting}.
	 * @param text the value
	 * @return the weighting; {@link #RESPONSE_TIME} for an unknown value
	 */
	public static Weighting of(String text) {
		return Arrays.stream(values())
			.filter((weighting) -> weighting.text.equals(text))
			.findFirst()
			.orElse(RESPONSE_TIME);
	}

	/**
	 * Returns the value of the rule {@code dispatch/weighting} that stands for this.
	 * @return the value
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the placement policy of a site that names none.
	 * @return the name of the policy
	 */
	public String defaultPlacement() {
		return this.defaultPlacement;
	}

	/**
	 * Returns how many slots an entry host leaves free, by estimate, on endpoints that it
	 * doesn't own.
	 * @return the number
	 */
	public int overflowReserveCount() {
		return this.overflowReserveCount;
	}

	/**
	 * Returns how many retries each start allows at most. The fewer are left, the surer a
	 * slot has to be before a task is started.
	 * @return the ratio
	 */
	public double retriesPerStart() {
		return this.retriesPerStart;
	}

	/**
	 * Returns the expected wait from which tasks are started in other failure domains.
	 * @return the wait in milliseconds
	 */
	public long defaultSpillWaitMillis() {
		return this.defaultSpillWaitMillis;
	}

}
