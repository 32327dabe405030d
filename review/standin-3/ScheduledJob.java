package review3;

/**
 * A scheduled job of one step that a client has submitted.
 *
 * @param jobId the id
 * @param taskCount the number of tasks of an occurrence
 * @param cpuMillicores what each task takes, in thousandths of a core
 * @param taskMillis how long a task takes, in milliseconds
 * @param firstEpochMillis when the first occurrence is due, in milliseconds since 1970
 * @param intervalMillis the time between occurrences, in milliseconds
 * @param repetitions the number of occurrences
 */
record ScheduledJob(String jobId, int taskCount, int cpuMillicores, int taskMillis, long firstEpochMillis,
		long intervalMillis, int repetitions) {

	String body() {
		return "{\"task_spec\":\"" + this.taskMillis + "\",\"repetitions\":" + this.repetitions + ",\"first_ms\":"
				+ this.firstEpochMillis + ",\"interval_ms\":" + this.intervalMillis + ",\"steps\":[{\"count\":"
				+ this.taskCount + ",\"cpu\":" + this.cpuMillicores + ",\"mem_mb\":64,\"estimated_ms\":"
				+ this.taskMillis + "}]}";
	}

	/**
	 * Counts the tasks of all occurrences that are due.
	 * @param epochMillis the time of day, in milliseconds since 1970
	 * @return the number
	 */
	int dueTaskCount(long epochMillis) {
		if (epochMillis < this.firstEpochMillis) {
			return 0;
		}
		long occurrences = 1 + (epochMillis - this.firstEpochMillis) / this.intervalMillis;
		return (int) Math.min(occurrences, this.repetitions) * this.taskCount;
	}

}
