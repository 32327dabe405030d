package org.masticwick.core.pool;

import java.util.List;

/**
 * The progress of a durable job.
 *
 * @param state the state of the job
 * @param stateChangedEpochMillis when the state last changed, in milliseconds since 1970
 * @param occurrences the occurrences that have started
 */
public record DurableProgress(DurableState state, long stateChangedEpochMillis, List<OccurrenceProgress> occurrences) {

	/**
	 * Copies the list, so that the record is immutable.
	 */
	public DurableProgress {
		occurrences = List.copyOf(occurrences);
	}

	/**
	 * Returns whether a job has all occurrences and tasks of this progress.
	 * @param job the job
	 * @return {@code false} if the progress can't be that of the job
	 */
	public boolean fits(DurableJob job) {
		return this.occurrences.stream()
			.allMatch((occurrence) -> occurrence.occurrence() >= 0
					&& occurrence.occurrence() < job.spec().schedule().count()
					&& occurrence.tasks().stream().allMatch((task) -> hasTask(job.spec(), task)));
	}

	private static boolean hasTask(JobSpec spec, TaskProgress task) {
		return task.step() >= 0 && task.step() < spec.steps().size() && task.index() >= 0
				&& task.index() < spec.steps().get(task.step()).taskCount();
	}

}
