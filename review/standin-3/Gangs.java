package review3;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The gangs of all workers: their tasks work from the moment when all tasks of one run
 * are present, and end together.
 */
final class Gangs {

	private final Map<String, Gang> gangs = new HashMap<>();

	/**
	 * Returns the gang of a run.
	 */
	synchronized Gang find(Run run, int size) {
		String step = run.task.substring(0, run.task.lastIndexOf('.'));
		return this.gangs.computeIfAbsent(step + "#" + run.number, (key) -> new Gang(size));
	}

	/** The members that run with one number. */
	static final class Gang {

		private final int size;

		private final Set<String> present = new HashSet<>();

		private long completeMillis = -1;

		private boolean broken;

		private boolean done;

		private Gang(int size) {
			this.size = size;
		}

		synchronized void join(String task) {
			this.present.add(task);
			if (this.present.size() == this.size && !this.broken) {
				this.completeMillis = Clock.nowMillis();
			}
		}

		/**
		 * Ends the work of all members as done, or reports that another member has ended.
		 * @return whether the members are done
		 */
		synchronized boolean complete() {
			this.done |= !this.broken;
			return this.done;
		}

		synchronized void breakUp() {
			this.broken |= !this.done;
		}

		synchronized boolean isDone() {
			return this.done;
		}

		synchronized boolean isBroken() {
			return this.broken;
		}

		/**
		 * Returns when the work began, or -1.
		 */
		synchronized long completeMillis() {
			return this.completeMillis;
		}

	}

}
