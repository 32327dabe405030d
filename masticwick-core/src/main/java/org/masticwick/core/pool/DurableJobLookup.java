package org.masticwick.core.pool;

import java.util.Optional;

/**
 * Finds the durable jobs of an owner by what endpoints report of their runs.
 */
interface DurableJobLookup {

	/** The lookup of an owner without durable jobs. */
	DurableJobLookup NONE = new DurableJobLookup() {

		@Override
		public boolean isKnown(String jobId) {
			return false;
		}

		@Override
		public Optional<PooledJob> openOccurrence(String jobId, int occurrence) {
			return Optional.empty();
		}

		@Override
		public boolean isUnopened(String jobId, int occurrence) {
			return false;
		}

	};

	/**
	 * Returns whether a job is a durable one of this owner, finished or not.
	 * @param jobId the id of the job
	 * @return whether it is known
	 */
	boolean isKnown(String jobId);

	/**
	 * Opens an occurrence that this owner has not started, but a previous one has, as its
	 * clock was ahead or its last write was lost.
	 * @param jobId the id of the job
	 * @param occurrence the number of the occurrence
	 * @return the occurrence, of which no task starts before it is due, or empty if it
	 * can't be opened now
	 */
	Optional<PooledJob> openOccurrence(String jobId, int occurrence);

	/**
	 * Returns whether an occurrence is still to be opened, so that nothing can be
	 * recorded for it.
	 * @param jobId the id of the job
	 * @param occurrence the number of the occurrence
	 * @return whether the job is active and has such an occurrence
	 */
	boolean isUnopened(String jobId, int occurrence);

}
