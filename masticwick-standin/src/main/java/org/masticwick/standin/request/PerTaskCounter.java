package org.masticwick.standin.request;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

/**
 * Counts an event, such as the start, of each task over all workers of a process. A task
 * id is a ticket, or a ticket, a dot and the index of the task in its job. The counts of
 * one ticket share an array, so that large jobs take little memory: position 0 counts the
 * id without an index, position n + 1 the task with index n.
 * <p>
 * An index has at most four digits and no leading zeros; any other id is a ticket as a
 * whole, so that each id is reported as it was received.
 */
public final class PerTaskCounter {

	private static final short[] NO_COUNTS = {};

	private final Map<String, short[]> countsByTicket = new ConcurrentHashMap<>();

	/**
	 * Increments the count of a task.
	 * @param taskId the id of the task
	 */
	public void increment(String taskId) {
		int dotPosition = taskId.lastIndexOf('.');
		int taskIndex = taskIndex(taskId, dotPosition);
		String ticket = (taskIndex >= 0) ? taskId.substring(0, dotPosition) : taskId;
		this.countsByTicket.compute(ticket,
				(key, counts) -> incremented((counts != null) ? counts : NO_COUNTS, taskIndex));
	}

	/**
	 * Passes the counts to a visitor, in no particular order.
	 * @param filter the tasks to visit
	 * @param visitor receives each task id with its count
	 */
	public void forEach(Filter filter, BiConsumer<String, Integer> visitor) {
		this.countsByTicket.forEach((ticket, counts) -> IntStream.range(0, counts.length)
			.filter((position) -> counts[position] >= filter.minCount())
			.forEach((position) -> {
				String taskId = (position > 0) ? ticket + "." + (position - 1) : ticket;
				if (taskId.startsWith(filter.taskIdPrefix())) {
					visitor.accept(taskId, (int) counts[position]);
				}
			}));
	}

	/**
	 * Resets all counts.
	 */
	public void clear() {
		this.countsByTicket.clear();
	}

	private static short[] incremented(short[] counts, int taskIndex) {
		int position = taskIndex + 1;
		short[] incremented = Arrays.copyOf(counts, Math.max(counts.length, position + 1));
		incremented[position]++;
		return incremented;
	}

	private static int taskIndex(String taskId, int dotPosition) {
		String suffix = taskId.substring(dotPosition + 1);
		boolean canonical = dotPosition > 0 && suffix.matches("0|[1-9][0-9]{0,3}");
		return canonical ? Integer.parseInt(suffix) : -1;
	}

	/**
	 * Selects tasks by their id and count.
	 *
	 * @param taskIdPrefix the prefix of the task ids, for example a ticket; empty for all
	 * tasks
	 * @param minCount the least count of the tasks, 1 or more
	 */
	public record Filter(String taskIdPrefix, int minCount) {

		/**
		 * Raises a least count below 1 to 1, because tasks without events have no count.
		 */
		public Filter {
			minCount = Math.max(1, minCount);
		}

	}

}
