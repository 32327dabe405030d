package org.masticwick.core.request;

import java.util.Objects;

import org.masticwick.core.process.HostAddress;

/**
 * Tells what came of a start.
 *
 * @param endpoint the endpoint that was asked to run the task
 * @param kind what came of it
 * @param runTimeNanos how long the task ran, in nanoseconds; 0 if not known
 * @param busySlotCount how many slots of the endpoint were taken when it answered,
 * without that of this task; {@value #UNKNOWN_COUNT} if it didn't tell
 */
public record StartOutcome(HostAddress endpoint, Kind kind, long runTimeNanos, int busySlotCount) {

	/** Stands for a count that isn't known. */
	public static final int UNKNOWN_COUNT = -1;

	/**
	 * Checks the parts.
	 */
	public StartOutcome {
		Objects.requireNonNull(endpoint, "endpoint");
		Objects.requireNonNull(kind, "kind");
	}

	/**
	 * Creates an end of which the endpoint did not tell how many slots are taken.
	 * @param endpoint the endpoint that was asked to run the task
	 * @param kind what came of it
	 * @param runTimeNanos how long the task ran, in nanoseconds; 0 if not known
	 */
	public StartOutcome(HostAddress endpoint, Kind kind, long runTimeNanos) {
		this(endpoint, kind, runTimeNanos, UNKNOWN_COUNT);
	}

	/**
	 * Lists what can come of a start.
	 */
	public enum Kind {

		/** The task ran and its whole result is here. */
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

		/** Whether the task ran can't be known. */
		LOST(false),

		/** The task was cancelled after it may have started. */
		CANCELLED(false);

		private final boolean notStarted;

		Kind(boolean notStarted) {
			this.notStarted = notStarted;
		}

		/**
		 * Returns whether it is certain that the task was not started.
		 * @return {@code true} if it is, so that the task may be tried elsewhere
		 */
		public boolean notStarted() {
			return this.notStarted;
		}

	}

}
