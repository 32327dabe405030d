package org.masticwick.core.request;

import java.util.Objects;

import org.masticwick.core.process.HostAddress;

/**
 * The outcome of a start.
 *
 * @param endpoint the endpoint that was asked to run the task
 * @param kind the kind of outcome
 * @param runTimeNanos the run time of the task, in nanoseconds; 0 if not known
 * @param busySlotCount the number of busy slots that the endpoint reported with its
 * answer, without the slot of this task; {@value #UNKNOWN_COUNT} if it reported none
 */
public record StartOutcome(HostAddress endpoint, Kind kind, long runTimeNanos, int busySlotCount) {

	/** The count of busy slots if the endpoint reported none. */
	public static final int UNKNOWN_COUNT = -1;

	/**
	 * Creates the outcome.
	 */
	public StartOutcome {
		Objects.requireNonNull(endpoint, "endpoint");
		Objects.requireNonNull(kind, "kind");
	}

	/**
	 * Creates an outcome without a reported number of busy slots.
	 * @param endpoint the endpoint that was asked to run the task
	 * @param kind the kind of outcome
	 * @param runTimeNanos the run time of the task, in nanoseconds; 0 if not known
	 */
	public StartOutcome(HostAddress endpoint, Kind kind, long runTimeNanos) {
		this(endpoint, kind, runTimeNanos, UNKNOWN_COUNT);
	}

	/**
	 * The kinds of outcome of a start.
	 */
	public enum Kind {

		/** The task ran and its complete result was received. */
		SUCCEEDED(false),

		/** The task ran and failed. */
		FAILED(false),

		/** The endpoint had no free slot and did not start the task. */
		REFUSED_FULL(true),

		/** The endpoint is leaving and did not start the task. */
		REFUSED_LEAVING(true),

		/** The endpoint can never run the task and did not start it. */
		REFUSED_NEVER_FITS(true),

		/** No byte of the request was written. */
		NOT_CONNECTED(true),

		/** It is unknown whether the task ran. */
		LOST(false),

		/** The task was cancelled after it may have started. */
		CANCELLED(false);

		private final boolean notStarted;

		Kind(boolean notStarted) {
			this.notStarted = notStarted;
		}

		/**
		 * Returns whether the task was certainly not started.
		 * @return {@code true} if the task was certainly not started, so that it may be
		 * retried on another endpoint
		 */
		public boolean notStarted() {
			return this.notStarted;
		}

	}

}
