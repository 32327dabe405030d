/**
 * What the tasks of a job do on a worker.
 *
 * @param workMillis the work of a task
 * @param longRunning whether the tasks run until they are stopped
 * @param checkpoints whether they save their progress
 * @param gangSize the number of members of a gang, or 0
 */
record TaskKind(long workMillis, boolean longRunning, boolean checkpoints, int gangSize) {

	static TaskKind plain(long workMillis) {
		return new TaskKind(workMillis, false, false, 0);
	}

}
