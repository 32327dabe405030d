package org.masticwick.cli.load;

/**
 * Counts what became of the jobs that were to be sent in one second of a run.
 */
final class SecondCounts {

	private long complete;

	private long refused;

	private long failed;

	private long unknown;

	private double ratioSum;

	private double ratioMax;

	synchronized void addComplete(double ratio) {
		this.complete++;
		this.ratioSum += ratio;
		this.ratioMax = Math.max(this.ratioMax, ratio);
	}

	synchronized void addRefused() {
		this.refused++;
	}

	synchronized void addFailed() {
		this.failed++;
	}

	synchronized void addUnknown() {
		this.unknown++;
	}

	synchronized Row toRow(int second) {
		double mean = (this.complete > 0) ? this.ratioSum / this.complete : 0;
		return new Row(second, this.complete, this.refused, this.failed, this.unknown, mean, this.ratioMax);
	}

	/**
	 * Is one second of the timeline in a report.
	 *
	 * @param second the second of the run
	 * @param complete jobs with a complete answer
	 * @param refused jobs that were refused
	 * @param failed jobs that failed
	 * @param unknown jobs whose outcome is unknown
	 * @param ratioMean the mean of response time over ideal
	 * @param ratioMax the greatest response time over ideal
	 */
	record Row(int second, long complete, long refused, long failed, long unknown, double ratioMean, double ratioMax) {

	}

}
