package org.masticwick.standin.request;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the starts of each task over all workers of a process. Counts are kept by ticket
 * so that large jobs take little memory.
 */
public final class StartLedger {

	private static final short[] NO_COUNTS = {};

	private final Map<String, short[]> countsByTicket = new ConcurrentHashMap<>();

	/**
	 * Counts a start.
	 * @param taskId the id of the task
	 */
	public void add(String taskId) {
		int dot = taskId.lastIndexOf('.');
		int index = indexOf(taskId, dot);
		String ticket = (index >= 0) ? taskId.substring(0, dot) : taskId;
		this.countsByTicket.compute(ticket, (key, counts) -> increment((counts != null) ? counts : NO_COUNTS, index));
	}

	/**
	 * Returns the counts by task id.
	 * @param prefix what the task ids start with; empty for all
	 * @return the counts
	 */
	public Map<String, Integer> counts(String prefix) {
		Map<String, Integer> result = new TreeMap<>();
		this.countsByTicket.forEach((ticket, counts) -> {
			for (int slot = 0; slot < counts.length; slot++) {
				String taskId = (slot > 0) ? ticket + "." + (slot - 1) : ticket;
				if (counts[slot] > 0 && taskId.startsWith(prefix)) {
					result.put(taskId, (int) counts[slot]);
				}
			}
		});
		return result;
	}

	/**
	 * Forgets all starts.
	 */
	public void clear() {
		this.countsByTicket.clear();
	}

	private static short[] increment(short[] counts, int index) {
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

}
