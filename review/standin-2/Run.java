/** A run of a task on a worker. */
final class Run {

	static final int STARTUP_MILLIS = 300;

	final String task;

	final int number;

	final String jobId;

	final TaskKind kind;

	final Worker worker;

	final String checkpoint;

	final long startMillis = Record.nowMillis();

	/** The work that the checkpoint of the start stands for. */
	final long resumedMillis;

	/** When the task began to work: at once, or when all members of its gang were there; -1 before. */
	long workingSinceMillis;

	long stopAtMillis = Long.MAX_VALUE;

	String end = "";

	long endMillis = -1;

	/** Whether the end was taken note of: ack_cursor has reached it, and the worker's lease did not lapse before. */
	volatile boolean noted;

	Run(String task, int number, TaskKind kind, Worker worker, String checkpoint) {
		this.task = task;
		this.number = number;
		this.jobId = task.substring(0, task.indexOf('.'));
		this.kind = kind;
		this.worker = worker;
		this.checkpoint = checkpoint;
		this.resumedMillis = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
		this.workingSinceMillis = (kind.gangSize() > 0) ? -1 : this.startMillis;
	}

	String step() {
		return this.task.substring(0, this.task.lastIndexOf('.'));
	}

	long workMillis() {
		return this.resumedMillis
				+ ((this.workingSinceMillis < 0) ? 0 : Record.nowMillis() - this.workingSinceMillis);
	}

	boolean isDone() {
		return !this.kind.longRunning() && this.workingSinceMillis >= 0 && workMillis() >= this.kind.workMillis();
	}

	boolean isAtWork() {
		return this.kind.longRunning() && Record.nowMillis() - this.startMillis >= STARTUP_MILLIS;
	}

	long percent() {
		if (this.kind.longRunning()) {
			return isAtWork() ? 100 : 0;
		}
		return Math.min(99, 100 * workMillis() / Math.max(1, this.kind.workMillis()));
	}

	/** The newest checkpoint: one with each checkpoint_s of work, or of this moment at a stop. */
	String saved(boolean atStop, long checkpointMillis) {
		if (!this.kind.checkpoints()) {
			return "";
		}
		long millis = atStop ? workMillis() : Math.max(this.resumedMillis, workMillis() / checkpointMillis * checkpointMillis);
		return (millis == 0) ? "" : String.format("%08x%s", millis, this.jobId.substring(4, 12));
	}

	@Override
	public String toString() {
		return this.task + " run " + this.number + " on " + this.worker.id() + " (" + this.worker.zone() + ")";
	}

}
