package org.masticwick.core.pool;

/**
 * Knows whether durable jobs of an owner's pools are still to be read from the shared
 * log.
 */
public interface UnreadJobs {

	/** All jobs are known. */
	UnreadJobs NONE = new UnreadJobs() {

		@Override
		public boolean mayInclude(String jobId) {
			return false;
		}

		@Override
		public boolean areAwaited() {
			return false;
		}

	};

	/**
	 * Returns whether a job that is not known may be one of them.
	 * @param jobId the job
	 * @return whether it may
	 */
	boolean mayInclude(String jobId);

	/**
	 * Returns whether it is worth while to wait for them before unknown runs are stopped.
	 * @return whether they should be read soon
	 */
	boolean areAwaited();

}
