package org.masticwick.core.request;

import java.util.Arrays;

/**
 * The goal that a site optimizes for: response time or number of messages. It determines
 * the defaults of the dispatch rules.
 */
public enum Weighting {

	/** Minimizes response time and accepts that endpoints refuse some starts. */
	RESPONSE_TIME("response-time", "owner", 2, 0.1, 20),

	/**
	 * Minimizes messages: a task waits longer rather than being refused by an endpoint.
	 */
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
	 * Parses the value of the rule {@code dispatch/weighting}.
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
	 * Returns the value of the rule {@code dispatch/weighting} that selects this
	 * weighting.
	 * @return the value
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the placement policy of a site whose rules name none.
	 * @return the name of the policy
	 */
	public String defaultPlacement() {
		return this.defaultPlacement;
	}

	/**
	 * Returns the number of slots that an entry host leaves free, by its own estimate, on
	 * endpoints that it doesn't own.
	 * @return the number of slots
	 */
	public int overflowReserveCount() {
		return this.overflowReserveCount;
	}

	/**
	 * Returns the maximum number of retries that each first start adds to the retry
	 * budget. The emptier the budget, the more certain a free slot must be before a task
	 * is started on it.
	 * @return the number of retries per start
	 */
	public double retriesPerStart() {
		return this.retriesPerStart;
	}

	/**
	 * Returns the expected queue wait above which tasks are started in other failure
	 * domains.
	 * @return the wait in milliseconds
	 */
	public long defaultSpillWaitMillis() {
		return this.defaultSpillWaitMillis;
	}

}
