package org.masticwick.core.pool;

/**
 * Knows whether durable jobs of an owner's pools are still to be read from the shared
 * log.
 */
public interface UnreadJobs {

	/** All jobs are known. */
	UnreadJobs NONE = new UnreadJobs() {

		@Override
		public boolean exist() {
			return false;
		}

		@Override
		public boolean areAwaited() {
			return false;
		}

	};

	/**
	 * Returns whether there may be some.
	 * @return whether there may
	 */
	boolean exist();

	/**
	 * Returns whether it is worth while to wait for them before unknown runs are stopped.
	 * @return whether they should be read soon
	 */
	boolean areAwaited();

}
