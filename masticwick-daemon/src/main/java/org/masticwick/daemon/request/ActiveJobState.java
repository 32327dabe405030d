package org.masticwick.daemon.request;

import java.util.Map;

/**
 * Shows a job that has not ended, for the dump of a process.
 *
 * @param ticket the ticket without its integrity check
 * @param service the service
 * @param team the team
 * @param urgent whether the job is urgent
 * @param ageMillis how long ago it was submitted, in milliseconds
 * @param deadlineMillis how long until its deadline, in milliseconds
 * @param taskCounts how many tasks are in each state
 */
public record ActiveJobState(String ticket, String service, String team, boolean urgent, long ageMillis,
		long deadlineMillis, Map<String, Long> taskCounts) {

}
