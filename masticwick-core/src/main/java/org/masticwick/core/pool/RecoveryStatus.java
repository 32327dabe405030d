package org.masticwick.core.pool;

/**
 * Whether durable jobs of an owner's pools remain to be read from the shared log.
 */
public interface RecoveryStatus {

	/** The status of an owner that has read all jobs. */
	RecoveryStatus COMPLETE = new RecoveryStatus() {

		@Override
		public boolean mayBeUnread(String jobId) {
			return false;
		}

		@Override
		public boolean isInProgress(String jobId) {
			return false;
		}

	};

	/**
	 * Returns whether an unknown job may be in the shared log.
	 * @param jobId the id of the job
	 * @return whether it may be a durable job that was not read yet, or that another
	 * owner has accepted
	 */
	boolean mayBeUnread(String jobId);

	/**
	 * Returns whether this host will read an unknown job soon, so that its runs are not
	 * stopped until then.
	 * @param jobId the id of the job
	 * @return whether reading the jobs of its pool is in progress here
	 */
	boolean isInProgress(String jobId);

}
