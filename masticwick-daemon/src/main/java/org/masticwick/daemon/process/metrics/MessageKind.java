package org.masticwick.daemon.process.metrics;

/**
 * Sorts the messages that an entry host sends, so that wasted ones can be summed.
 */
public enum MessageKind {

	/** A task posted to an endpoint. */
	START("start"),

	/** A look-up of a task at an endpoint. */
	LOOKUP("lookup"),

	/** A cancellation sent to an endpoint. */
	CANCEL("cancel"),

	/** A request passed on to another entry host. */
	FORWARD("forward"),

	/** Tickets passed on to an heir, and answers that follow. */
	TRANSFER("transfer");

	private final String label;

	MessageKind(String label) {
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
