package org.masticwick.daemon.process.metrics;

/**
 * Sorts the messages that moved no task nearer to its answer.
 */
public enum WasteKind {

	/** A post that the endpoint refused before the start. */
	REFUSED("refused"),

	/** A post that reached no endpoint. */
	NOT_SENT("not-sent"),

	/** A look-up of a task. */
	LOOKUP("lookup"),

	/** A start whose answer was not used, since its job had ended. */
	UNUSED("unused");

	private final String label;

	WasteKind(String label) {
		this.label = label;
	}

	/**
	 * Returns the label of the kind in the metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
