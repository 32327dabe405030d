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

}
