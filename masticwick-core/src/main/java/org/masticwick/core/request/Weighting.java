package org.masticwick.core.request;

import java.util.Arrays;

/**
 * Tells what a site weighs more, and with it the defaults of the dispatch rules.
 */
public enum Weighting {

	/** Answers come as early as possible; a refused message now and then is fine. */
	RESPONSE_TIME("response-time", "least-of-two-peers", 0.5, 20),

	/** Messages are saved; a task rather waits than being refused. */
	MESSAGES("messages", "owner", 0, 2_000);

	private final String text;

	private final String defaultPlacement;

	private final double eagerness;

	private final long defaultSpillWaitMillis;

	Weighting(String text, String defaultPlacement, double eagerness, long defaultSpillWaitMillis) {
		this.text = text;
		this.defaultPlacement = defaultPlacement;
		this.eagerness = eagerness;
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
	 * Returns which part of a slot may be missing by estimate when a task is started.
	 * @return the part, 0 to 1
	 */
	public double eagerness() {
		return this.eagerness;
	}

	/**
	 * Returns the expected wait from which tasks are started in other failure domains.
	 * @return the wait in milliseconds
	 */
	public long defaultSpillWaitMillis() {
		return this.defaultSpillWaitMillis;
	}

}
