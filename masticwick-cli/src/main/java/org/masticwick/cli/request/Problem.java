package org.masticwick.cli.request;

import java.util.List;

import org.masticwick.core.process.RunState;

/**
 * The reason why a request has no complete answer.
 *
 * @param code the error code
 * @param runState whether the job was run
 * @param retryAfterMillis the delay before a retry, in milliseconds; 0 if a retry is of
 * no use
 * @param detail a human-readable description
 * @param tasks the state of each task if the job failed, otherwise empty
 */
public record Problem(String code, RunState runState, long retryAfterMillis, String detail, List<TaskOutcome> tasks) {

	/** The error code for a response that can't be read. */
	public static final String UNREADABLE_ANSWER = "unreadable-answer";

	/** The error code if no complete response was received. */
	public static final String UNREACHABLE = "unreachable";

	/**
	 * Creates a problem with a copy of the tasks.
	 */
	public Problem {
		tasks = List.copyOf(tasks);
	}

	/**
	 * Creates a problem without task states and without a retry delay.
	 * @param code the error code
	 * @param runState whether the job was run
	 * @param detail a human-readable description
	 * @return the problem
	 */
	public static Problem of(String code, RunState runState, String detail) {
		return new Problem(code, runState, 0, detail, List.of());
	}

	/**
	 * The state of one task of a failed job.
	 *
	 * @param index the index of the task in the job
	 * @param state {@code succeeded}, {@code failed}, {@code unknown} or
	 * {@code not-started}
	 */
	public record TaskOutcome(int index, String state) {

	}

}
