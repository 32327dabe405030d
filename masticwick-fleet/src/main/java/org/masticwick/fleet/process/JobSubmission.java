package org.masticwick.fleet.process;

import org.masticwick.core.pool.JobOrigin;
import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobTerms;

/**
 * A copy of an interactive job that an owner has received.
 *
 * @param pool the pool that it was sent to
 * @param spec the job
 * @param terms the terms of its queue when the copy arrived
 * @param origin the callers' host and the call that wait for the answer
 * @param refusedBy the pool that has refused this copy before, or an empty string
 * @param arrivedMillis when the copy arrived, in milliseconds
 */
record JobSubmission(String pool, JobSpec spec, JobTerms terms, JobOrigin origin, String refusedBy,
		long arrivedMillis) {

	String jobId() {
		return this.spec.jobId();
	}

	/**
	 * Returns the terms after the time that the copy has waited here.
	 * @param nowMillis the time in milliseconds
	 * @return the terms
	 */
	JobTerms termsAt(long nowMillis) {
		return this.terms.afterWait(nowMillis - this.arrivedMillis);
	}

	JobRegistration registration(boolean repeated, long nowMillis) {
		return new JobRegistration(jobId(), this.pool, this.refusedBy, termsAt(nowMillis).waitedMillis(), repeated);
	}

}
