package org.masticwick.core.request.internal;

/**
 * The events that the scheduler counts. The names appear in metrics and dumps.
 */
enum Counter {

	ADMITTED_JOBS("admitted_jobs"),

	REJECTED_JOBS("rejected_jobs"),

	STARTS("starts"),

	RETRIES("retries"),

	PROBES("probes"),

	SPILLS("spills"),

	REFUSED_FULL("refused_full"),

	REFUSED_OTHER("refused_other"),

	NOT_CONNECTED("not_connected"),

	EJECTIONS("ejections"),

	DROPPED_TASKS("dropped_tasks"),

	GIVEN_UP_TASKS("given_up_tasks");

	private final String text;

	Counter(String text) {
		this.text = text;
	}

	/**
	 * Returns the name of the counter in metrics and dumps.
	 * @return the name, lower case with underscores
	 */
	String text() {
		return this.text;
	}

}
