package org.masticwick.cli.request;

import java.util.List;

import org.masticwick.core.process.RunState;

/**
 * Tells why there is no complete answer.
 *
 * @param code the code of the error
 * @param runState whether the job was run
 * @param retryAfterMillis when to come back, in milliseconds; 0 if that makes no sense
 * @param detail the details for people
 * @param tasks the state of each task, for a job that failed
 */
public record Problem(String code, RunState runState, long retryAfterMillis, String detail, List<TaskOutcome> tasks) {

	/** The code for an answer that can't be read. */
	public static final String UNREADABLE_ANSWER = "unreadable-answer";

	/** The code for hosts that give no answer. */
	public static final String UNREACHABLE = "unreachable";

	/**
	 * Copies the tasks.
	 */
	public Problem {
		tasks = List.copyOf(tasks);
	}

	/**
	 * Creates a problem without tasks.
	 * @param code the code
	 * @param runState whether the job was run
	 * @param detail the details for people
	 * @return the problem
	 */
	public static Problem of(String code, RunState runState, String detail) {
		return new Problem(code, runState, 0, detail, List.of());
	}

	/**
	 * Tells what became of one task.
	 *
	 * @param index the place of the task in the job
	 * @param state {@code succeeded}, {@code failed}, {@code unknown} or
	 * {@code not-started}
	 */
	public record TaskOutcome(int index, String state) {

	}

}
