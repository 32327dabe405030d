package org.masticwick.standin.request;

import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;

/**
 * Counts the starts of each task over all workers of a process. Counts are kept by ticket
 * so that large jobs take little memory.
 */
public final class PerTaskCounter {

	private static final short[] NO_COUNTS = {};

	private final Map<String, short[]> countsByTicket = new ConcurrentHashMap<>();

	/**
	 * Counts a start.
	 * @param taskId the id of the task
	 */
	public void increment(String taskId) {
		int dot = taskId.lastIndexOf('.');
		int index = indexOf(taskId, dot);
		String ticket = (index >= 0) ? taskId.substring(0, dot) : taskId;
		this.countsByTicket.compute(ticket, (key, counts) -> incremented((counts != null) ? counts : NO_COUNTS, index));
	}

	/**
	 * Visits the counts by task id, in no order.
	 * @param filter which counts
	 * @param visitor takes each task id with its count
	 */
	public void forEach(Filter filter, BiConsumer<String, Integer> visitor) {
		this.countsByTicket.forEach((ticket, counts) -> IntStream.range(0, counts.length)
			.filter((slot) -> counts[slot] >= filter.minCount())
			.forEach((slot) -> {
				String taskId = (slot > 0) ? ticket + "." + (slot - 1) : ticket;
				if (taskId.startsWith(filter.taskIdPrefix())) {
					visitor.accept(taskId, (int) counts[slot]);
				}
			}));
	}

	/**
	 * Forgets all starts.
	 */
	public void clear() {
		this.countsByTicket.clear();
	}

	private static short[] incremented(short[] counts, int index) {
		int slot = index + 1;
		short[] changed = Arrays.copyOf(counts, Math.max(counts.length, slot + 1));
		changed[slot]++;
		return changed;
	}

	private static int indexOf(String taskId, int dot) {
		String text = taskId.substring(dot + 1);
		boolean canonical = dot > 0 && text.matches("0|[1-9][0-9]{0,3}");
		return canonical ? Integer.parseInt(text) : -1;
	}

	/**
	 * Chooses counts.
	 *
	 * @param taskIdPrefix what the task ids start with; empty for all
	 * @param minCount how often the tasks were started at least, 1 or more
	 */
	public record Filter(String taskIdPrefix, int minCount) {

		/**
		 * Leaves out tasks that were never started.
		 */
		public Filter {
			minCount = Math.max(1, minCount);
		}

	}

}
