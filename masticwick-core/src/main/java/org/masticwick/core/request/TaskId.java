package org.masticwick.core.request;

/**
 * Identifies a task: the ticket of its job and its place in the job.
 *
 * @param ticket the text of the ticket
 * @param index the place of the task in the job, from 0
 */
public record TaskId(String ticket, int index) {

	/**
	 * Returns the form that endpoints see; it stands in a URL as it is.
	 * @return ticket, a dot and the index
	 */
	@Override
	public String toString() {
		return this.ticket + "." + this.index;
	}

}
