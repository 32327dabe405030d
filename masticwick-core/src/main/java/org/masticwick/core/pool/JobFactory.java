package org.masticwick.core.pool;

/**
 * Creates jobs, numbered in the order of their creation.
 */
final class JobFactory {

	private final RunTimeEstimator runTimeEstimator;

	private long nextSequence;

	JobFactory(RunTimeEstimator runTimeEstimator) {
		this.runTimeEstimator = runTimeEstimator;
	}

	/**
	 * Creates a job.
	 * @param spec the job
	 * @param terms the terms of the queue of the job
	 * @param origin the entry host and the call that wait for the answer
	 * @param arrivedMillis when the job arrived, in milliseconds of the monotonic time
	 * @return the job
	 */
	PooledJob create(JobSpec spec, JobTerms terms, JobOrigin origin, long arrivedMillis) {
		return new PooledJob(spec, terms, origin, this.nextSequence++, arrivedMillis, this.runTimeEstimator);
	}

	/**
	 * Creates an occurrence of a durable job.
	 * @param job the job
	 * @param occurrence the number of the occurrence
	 * @param dueMillis when the occurrence was due, in milliseconds of the monotonic time
	 * @return the occurrence
	 */
	PooledJob createOccurrence(DurableJob job, int occurrence, long dueMillis) {
		return new PooledJob(job.spec(), occurrence, job.terms(), JobOrigin.NONE, this.nextSequence++, dueMillis,
				this.runTimeEstimator);
	}

	/**
	 * Creates a job that is only checked, with the number of the next job.
	 * @param spec the job
	 * @param terms the terms of the queue of the job
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return the job
	 */
	PooledJob createForCheck(JobSpec spec, JobTerms terms, long nowMillis) {
		return new PooledJob(spec, terms, JobOrigin.NONE, this.nextSequence, nowMillis, this.runTimeEstimator);
	}

}
