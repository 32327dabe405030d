package org.masticwick.core.request;

/**
 * Identifies a task by the ticket of its job and its index in the job.
 *
 * @param ticket the text of the ticket
 * @param index the index of the task in the job, from 0
 */
public record TaskId(String ticket, int index) {

	/**
	 * Returns the task id that is sent to endpoints. It contains only characters that
	 * need no escaping in a URL.
	 * @return the ticket, a dot and the index
	 */
	@Override
	public String toString() {
		return this.ticket + "." + this.index;
	}

}
