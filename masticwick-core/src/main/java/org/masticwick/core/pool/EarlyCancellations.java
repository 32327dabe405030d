package org.masticwick.core.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Cancellations of jobs that were unknown when they were cancelled. A submission of such
 * a job may still be on its way, or come again after it got no answer, and is refused for
 * as long as the cancellation is remembered.
 */
final class EarlyCancellations {

	/**
	 * How long a cancellation is remembered, in milliseconds; as long as the state of a
	 * finished job.
	 */
	static final long RETENTION_MILLIS = 150_000;

	/** The most that an owner adds, so that its memory is bounded. */
	static final int MAX_COUNT = 10_000;

	private final Map<String, EarlyCancellation> cancellations = new HashMap<>();

	/**
	 * Adds a cancellation, or renews an earlier one.
	 * @param cancellation the cancellation
	 * @return whether it was added; {@code false} if there are too many
	 */
	boolean add(EarlyCancellation cancellation) {
		boolean hasRoom = this.cancellations.size() < MAX_COUNT || this.cancellations.containsKey(cancellation.jobId());
		if (hasRoom) {
			recover(cancellation);
		}
		return hasRoom;
	}

	/**
	 * Adds a cancellation that a previous owner has answered, so that it must not be
	 * forgotten.
	 * @param cancellation the cancellation
	 */
	void recover(EarlyCancellation cancellation) {
		this.cancellations.put(cancellation.jobId(), cancellation);
	}

	boolean contains(String jobId) {
		return this.cancellations.containsKey(jobId);
	}

	/**
	 * Returns for how long a job stays cancelled.
	 * @param jobId the id of a job that {@link #contains} has
	 * @param epochMillis the wall clock time in milliseconds since 1970
	 * @return the time in milliseconds, 0 if it is over
	 */
	long remainingMillis(String jobId, long epochMillis) {
		return Math.max(0, this.cancellations.get(jobId).cancelledEpochMillis() + RETENTION_MILLIS - epochMillis);
	}

	/**
	 * Forgets the cancellations that have been remembered for long enough.
	 * @param epochMillis the wall clock time in milliseconds since 1970
	 * @return what was forgotten
	 */
	List<EarlyCancellation> pollExpired(long epochMillis) {
		List<EarlyCancellation> expired = this.cancellations.values()
			.stream()
			.filter((each) -> epochMillis - each.cancelledEpochMillis() > RETENTION_MILLIS)
			.toList();
		expired.forEach((each) -> this.cancellations.remove(each.jobId()));
		return expired;
	}

	/**
	 * Forgets the cancellations of a pool that has another owner, which reads them from
	 * the shared log.
	 * @param pool the name of the pool
	 */
	void removePool(String pool) {
		this.cancellations.values().removeIf((each) -> each.pool().equals(pool));
	}

	/**
	 * The cancellation of an unknown job.
	 *
	 * @param pool the pool that the job is assigned to
	 * @param jobId the id of the job
	 * @param cancelledEpochMillis when it was last cancelled, in milliseconds since 1970
	 */
	record EarlyCancellation(String pool, String jobId, long cancelledEpochMillis) {
	}

}
