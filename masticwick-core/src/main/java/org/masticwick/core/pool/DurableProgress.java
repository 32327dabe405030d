package org.masticwick.core.pool;

import java.util.List;

/**
 * How far a durable job is.
 *
 * @param state its state
 * @param stateChangedEpochMillis when that was written, in milliseconds since 1970
 * @param occurrences the occurrences that have begun to end
 */
public record DurableProgress(DurableState state, long stateChangedEpochMillis, List<OccurrenceProgress> occurrences) {

	/**
	 * Copies the list.
	 */
	public DurableProgress {
		occurrences = List.copyOf(occurrences);
	}

}
