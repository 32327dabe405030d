package org.masticwick.core.pool;

/**
 * One run of a task on an endpoint, from the start request until the run has certainly
 * terminated.
 */
final class Placement {

	/** The progress at which a long-running task is at work, in percent. */
	private static final int AT_WORK_PERCENT = 100;

	private final PooledTask task;

	private final TaskRun run;

	private final PooledEndpoint endpoint;

	private final long startRequestedMillis;

	private final double expectedMillis;

	private final Isolation isolation;

	private long endpointStartedEpochMillis;

	private long acceptedMillis = -1;

	private long startSupersededMillis = -1;

	private int progressPercent;

	private long progressMillis = -1;

	private boolean atWork;

	private double longRunShare = 1;

	private boolean moved;

	private boolean stopping;

	private boolean continuedElsewhere;

	private long stopSentMillis;

	private long stopConfirmedMillis = -1;

	Placement(PooledTask task, TaskRun run, PooledEndpoint endpoint, long startRequestedMillis, double expectedMillis) {
		this.task = task;
		this.run = run;
		this.endpoint = endpoint;
		this.startRequestedMillis = startRequestedMillis;
		this.expectedMillis = expectedMillis;
		this.endpointStartedEpochMillis = endpoint.startedEpochMillis();
		this.isolation = task.isolation(startRequestedMillis);
	}

	PooledTask task() {
		return this.task;
	}

	TaskRun run() {
		return this.run;
	}

	PooledEndpoint endpoint() {
		return this.endpoint;
	}

	long startRequestedMillis() {
		return this.startRequestedMillis;
	}

	double expectedMillis() {
		return this.expectedMillis;
	}

	/**
	 * Returns when the incarnation of the endpoint started that was asked to run the
	 * task, or that has listed the run since.
	 * @return the time in milliseconds since 1970, or 0 if unknown
	 */
	long endpointStartedEpochMillis() {
		return this.endpointStartedEpochMillis;
	}

	void listedBy(long startedEpochMillis) {
		this.endpointStartedEpochMillis = startedEpochMillis;
	}

	/**
	 * Returns how far the run is kept apart from others.
	 * @return the isolation when it was started
	 */
	Isolation isolation() {
		return this.isolation;
	}

	boolean isAccepted() {
		return this.acceptedMillis >= 0;
	}

	long acceptedMillis() {
		return this.acceptedMillis;
	}

	void accept(long nowMillis) {
		if (this.acceptedMillis < 0) {
			this.acceptedMillis = nowMillis;
		}
	}

	/**
	 * Returns since when commands to the endpoint carry a higher number than the start
	 * request.
	 * @return the time in milliseconds, or a negative number if they do not
	 */
	long startSupersededMillis() {
		return this.startSupersededMillis;
	}

	void startSuperseded(long nowMillis) {
		if (this.startSupersededMillis < 0) {
			this.startSupersededMillis = nowMillis;
		}
	}

	/**
	 * Records the progress of the run.
	 * @param reachedPercent the completed part of the work in percent
	 * @param writtenMillis when the endpoint reported it, in milliseconds of the owner's
	 * clock
	 */
	void recordProgress(int reachedPercent, long writtenMillis) {
		this.progressPercent = reachedPercent;
		this.atWork |= this.task.isLongRunning() && reachedPercent >= AT_WORK_PERCENT;
		this.progressMillis = Math.max(this.startRequestedMillis, writtenMillis);
	}

	/**
	 * Returns whether this is a run of a long-running task that has begun its work.
	 * @return whether its startup is over
	 */
	boolean isAtWork() {
		return this.atWork;
	}

	/**
	 * Returns the run time at the last progress report.
	 * @return the time in milliseconds, or 0 if no progress was reported
	 */
	long observedMillis() {
		return (this.progressMillis < 0) ? 0 : this.progressMillis - this.startRequestedMillis;
	}

	/**
	 * Returns how many runs of the queue take as long as this one was recorded to take.
	 * @return the share of the runs, 1 if the run was not recorded as slow
	 */
	double longRunShare() {
		return this.longRunShare;
	}

	void longRunShare(double share) {
		this.longRunShare = share;
	}

	boolean isMoved() {
		return this.moved;
	}

	void markMoved() {
		this.moved = true;
	}

	boolean isStopping() {
		return this.stopping;
	}

	long stopSentMillis() {
		return this.stopSentMillis;
	}

	void stopSent(long nowMillis) {
		this.stopping = true;
		this.stopSentMillis = nowMillis;
	}

	long stopConfirmedMillis() {
		return this.stopConfirmedMillis;
	}

	void stopConfirmed(long nowMillis) {
		if (this.stopConfirmedMillis < 0) {
			this.stopConfirmedMillis = nowMillis;
		}
	}

	void forgetStopConfirmation() {
		this.stopConfirmedMillis = -1;
	}

	/**
	 * Records that another owner may continue the job, so that the run must end.
	 */
	void markContinuedElsewhere() {
		this.continuedElsewhere = true;
	}

	/**
	 * Returns whether the run has to end and may go on: its job is finished or may be
	 * continued by another owner, and the endpoint has not confirmed the stop.
	 * @return whether its lease must not be extended
	 */
	boolean mustEnd() {
		return this.stopping && this.stopConfirmedMillis < 0
				&& (this.continuedElsewhere || this.task.job().isFinished());
	}

	/**
	 * Describes the progress of the run.
	 * @return the description, for logs
	 */
	String progress() {
		return this.progressPercent + "% after " + observedMillis() + " ms, expected " + Math.round(this.expectedMillis)
				+ " ms";
	}

	/**
	 * Returns the total run time, extrapolated from the progress.
	 * @return the run time in milliseconds
	 */
	double projectedMillis() {
		return observedMillis() * 100.0 / Math.max(1, this.progressPercent);
	}

}
