package review3;

/**
 * One run of a task, as its worker sees it. Guarded by the ledger.
 */
final class Run {

	final String task;

	final int number;

	final String worker;

	final long startMillis = Clock.nowMillis();

	long endMillis = -1;

	String how = "";

	/** When the hosts have taken note of the end, or -1. */
	long notedMillis = -1;

	Run(String task, int number, String worker) {
		this.task = task;
		this.number = number;
		this.worker = worker;
	}

	String jobId() {
		return this.task.substring(0, this.task.indexOf('.'));
	}

	boolean isDone() {
		return this.how.equals("done");
	}

	@Override
	public String toString() {
		return "run " + this.number + " of " + this.task + " on " + this.worker;
	}

}
