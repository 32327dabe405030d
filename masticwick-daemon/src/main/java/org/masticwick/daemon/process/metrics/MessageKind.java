package org.masticwick.daemon.process.metrics;

/**
 * The kinds of messages that an entry host sends to endpoints and peers, for the message
 * counter.
 */
public enum MessageKind {

	/** A task posted to an endpoint. */
	START("start"),

	/** A status lookup of a task at an endpoint. */
	LOOKUP("lookup"),

	/** A cancellation sent to an endpoint. */
	CANCEL("cancel"),

	/** A request of a caller, forwarded to another entry host. */
	FORWARD("forward"),

	/** Tickets handed over to a successor, or an answer delivered to it afterwards. */
	TRANSFER("transfer");

	private final String label;

	MessageKind(String label) {
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
