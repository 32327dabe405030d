package org.masticwick.core.pool;

/**
 * Identifies a task of a job.
 *
 * @param jobId the id of the job
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task in its step, from 0
 */
public record TaskId(String jobId, int occurrence, int step, int index) {

	@Override
	public String toString() {
		return this.jobId + "/" + this.occurrence + "/" + this.step + "/" + this.index;
	}

}
