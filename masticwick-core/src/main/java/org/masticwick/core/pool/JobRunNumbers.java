package org.masticwick.core.pool;

import java.util.function.IntPredicate;

/**
 * Which numbers the runs of a job may get.
 *
 * @param highestPreviousNumber the highest number that a previous owner may have given to
 * a run of the job, or 0 if there was none
 * @param reserved tells whether a number is reserved for the present owner
 */
record JobRunNumbers(int highestPreviousNumber, IntPredicate reserved) {

	/** The numbers of a job that is not durable, which need no reservation. */
	static final JobRunNumbers UNRESERVED = new JobRunNumbers(0, (number) -> true);

}
