package org.masticwick.daemon.process.metrics;

/**
 * The kinds of messages to endpoints that contributed nothing to the answer of a job.
 */
public enum WasteKind {

	/** A start that the endpoint refused. */
	REFUSED("refused"),

	/** A start that could not be sent, since no connection was made. */
	NOT_SENT("not-sent"),

	/** A status lookup of a task. */
	LOOKUP("lookup"),

	/** A start whose result was not used, since its job had already been answered. */
	UNUSED("unused");

	private final String label;

	WasteKind(String label) {
		this.label = label;
	}

	/**
	 * Returns the value of the label {@code kind} in the metrics.
	 * @return the label value
	 */
	public String label() {
		return this.label;
	}

}
