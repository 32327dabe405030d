package org.masticwick.core.pool;

/**
 * Knows whether durable jobs of an owner's pools are still to be read from the shared
 * log.
 */
public interface RecoveryStatus {

	/** All jobs are known. */
	RecoveryStatus COMPLETE = new RecoveryStatus() {

		@Override
		public boolean mayBeUnread(String jobId) {
			return false;
		}

		@Override
		public boolean isInProgress() {
			return false;
		}

	};

	/**
	 * Returns whether a job that is not known may be one of them.
	 * @param jobId the job
	 * @return whether it may
	 */
	boolean mayBeUnread(String jobId);

	/**
	 * Returns whether it is worth while to wait for them before unknown runs are stopped.
	 * @return whether they should be read soon
	 */
	boolean isInProgress();

}
