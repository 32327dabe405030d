package org.masticwick.core.request;

import java.util.List;

/**
 * Is what the scheduler decided at one time.
 *
 * @param starts what to start
 * @param droppedTasks the tasks that are never started; all queued tasks of their jobs
 * are among them
 * @param nextPassNanos when to ask again if nothing happens before, in nanoseconds of the
 * monotonic clock; {@link #NEVER} if only an event can change the decision
 */
public record SchedulingDecisions(List<StartCommand> starts, List<DroppedTask> droppedTasks, long nextPassNanos) {

	/** Stands for no time at all. */
	public static final long NEVER = Long.MAX_VALUE;

	/**
	 * Copies the lists.
	 */
	public SchedulingDecisions {
		starts = List.copyOf(starts);
		droppedTasks = List.copyOf(droppedTasks);
	}

}
