package org.masticwick.cli.load;

/**
 * Counts the outcomes of the jobs whose planned send time is in one second of a load run.
 * May be used by several threads at once.
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
	 * Outcomes of one second of the timeline in a report.
	 *
	 * @param second the number of full seconds since the start of the run
	 * @param complete the number of jobs with a complete answer
	 * @param refused the number of jobs that were refused
	 * @param failed the number of jobs that failed without being cancelled
	 * @param unknown the number of jobs whose outcome is unknown
	 * @param ratioMean the mean ratio of response time to ideal response time of complete
	 * jobs; 0 if there are none
	 * @param ratioMax the maximum ratio of response time to ideal response time of
	 * complete jobs; 0 if there are none
	 */
	record Row(int second, long complete, long refused, long failed, long unknown, double ratioMean, double ratioMax) {

	}

}
