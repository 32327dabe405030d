package org.masticwick.core.request;

import java.util.List;

/**
 * The decisions of one scheduling pass.
 *
 * @param starts the tasks to start
 * @param droppedTasks the tasks that will never be started; if a task of a job is
 * dropped, all queued tasks of the job are
 * @param nextPassNanos the time of the next pass if no event triggers one earlier, in
 * nanoseconds of the monotonic clock; {@link #NEVER} if only an event can change the
 * decisions
 */
public record SchedulingDecisions(List<StartCommand> starts, List<DroppedTask> droppedTasks, long nextPassNanos) {

	/** The time of the next pass if no pass is needed before the next event. */
	public static final long NEVER = Long.MAX_VALUE;

	/**
	 * Creates the decisions with immutable copies of the lists.
	 */
	public SchedulingDecisions {
		starts = List.copyOf(starts);
		droppedTasks = List.copyOf(droppedTasks);
	}

}
