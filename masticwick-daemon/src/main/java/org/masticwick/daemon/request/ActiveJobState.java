package org.masticwick.daemon.request;

import java.util.Map;

/**
 * Describes a job that has not ended, for the state dump of the host.
 *
 * @param ticket the ticket without its integrity check
 * @param service the service
 * @param team the team
 * @param urgent whether the job is urgent
 * @param ageMillis the time since the job was submitted, in milliseconds
 * @param deadlineMillis the time left until the deadline of the job, in milliseconds;
 * negative once it has passed
 * @param taskCounts the number of tasks by the text of their state
 */
public record ActiveJobState(String ticket, String service, String team, boolean urgent, long ageMillis,
		long deadlineMillis, Map<String, Long> taskCounts) {

}
