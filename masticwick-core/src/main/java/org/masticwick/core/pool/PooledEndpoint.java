package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An endpoint of a pool with the runs that the owner has started on it.
 */
final class PooledEndpoint {

	/**
	 * The bound on the relative drift of clocks; larger than the clock error that
	 * endpoints may have.
	 */
	private static final double MAX_DRIFT = 0.03;

	/**
	 * How long after its start an isolated run keeps others off, in milliseconds; a task
	 * that crashes its endpoint does so soon.
	 */
	private static final long ISOLATED_START_MILLIS = 1_000;

	private final Map<TaskRun, Placement> placements = new LinkedHashMap<>();

	private final EndpointHealth health = new EndpointHealth();

	private final CommandCounter commandCounter;

	private long commandCount;

	private EndpointEntry entry;

	private Resources used = Resources.NONE;

	private long lastContactMillis;

	private double clockOffsetMillis;

	private long clockReportedMillis = -1;

	private long startedEpochMillis;

	private TerminationTracker terminations = new TerminationTracker();

	private Placement isolatedPlacement;

	private int reservationCount;

	private int suspectCount;

	private int servingCount;

	private int backfillCount;

	private Set<String> orphanedJobIds = Set.of();

	private long orphansExtendedMillis = Long.MIN_VALUE / 2;

	private boolean reported;

	private long restartNoticedMillis = Long.MIN_VALUE / 2;

	private boolean listed = true;

	private boolean drained;

	private long pausedUntilMillis;

	PooledEndpoint(EndpointEntry entry, CommandCounter commandCounter) {
		this.entry = entry;
		this.commandCounter = commandCounter;
		this.commandCount = commandCounter.current();
		this.startedEpochMillis = entry.startedEpochMillis();
		this.lastContactMillis = Long.MIN_VALUE / 2;
	}

	/**
	 * Returns the entry with the start time that the endpoint itself reported last.
	 * @return the entry
	 */
	EndpointEntry transfer() {
		return new EndpointEntry(this.entry.id(), this.entry.service(), this.entry.address(), this.entry.domain(),
				this.entry.ready(), this.entry.capacity(), this.entry.labels(), this.startedEpochMillis);
	}

	EndpointEntry entry() {
		return this.entry;
	}

	void entry(EndpointEntry newEntry) {
		this.entry = newEntry;
		this.listed = true;
	}

	boolean isListed() {
		return this.listed;
	}

	void unlist() {
		this.listed = false;
	}

	/**
	 * Returns whether the failure domain of the endpoint is drained, so that it gets no
	 * new tasks. Its runs continue.
	 * @return whether it is drained
	 */
	boolean isDrained() {
		return this.drained;
	}

	void setDrained(boolean drained) {
		this.drained = drained;
	}

	EndpointHealth health() {
		return this.health;
	}

	long lastContactMillis() {
		return this.lastContactMillis;
	}

	void recordContact(long nowMillis) {
		this.lastContactMillis = nowMillis;
	}

	/**
	 * Updates the estimated offset of the endpoint's clock. The report with the least
	 * delay gives the best estimate; older reports count less, because clocks drift.
	 * @param clockMillis the clock of the endpoint when it wrote its report, in
	 * milliseconds
	 * @param nowMillis when the report arrived, in milliseconds
	 */
	void recordClock(long clockMillis, long nowMillis) {
		double driftMillis = MAX_DRIFT * (nowMillis - this.clockReportedMillis);
		boolean first = this.clockReportedMillis < 0;
		double offsetMillis = clockMillis - nowMillis;
		this.clockOffsetMillis = first ? offsetMillis : Math.max(offsetMillis, this.clockOffsetMillis - driftMillis);
		this.clockReportedMillis = nowMillis;
	}

	/**
	 * Converts the time of a report to the clock of the owner.
	 * @param clockMillis the clock of the endpoint in the report, in milliseconds
	 * @return the time in milliseconds
	 */
	long writtenMillis(long clockMillis) {
		return Math.round(clockMillis - this.clockOffsetMillis);
	}

	EndpointIncarnation incarnation(long reportedStartEpochMillis) {
		return new EndpointIncarnation(this.entry.id(), this.entry.address(), reportedStartEpochMillis);
	}

	long startedEpochMillis() {
		return this.startedEpochMillis;
	}

	TerminationTracker terminations() {
		return this.terminations;
	}

	void restarted(long newStartedEpochMillis) {
		this.startedEpochMillis = newStartedEpochMillis;
		this.terminations = new TerminationTracker();
		this.orphanedJobIds = Set.of();
		this.clockReportedMillis = -1;
	}

	/**
	 * Returns when the last restart was noticed.
	 * @return the time in milliseconds, far in the past if none was
	 */
	long restartNoticedMillis() {
		return this.restartNoticedMillis;
	}

	void restartNoticed(long nowMillis) {
		this.restartNoticedMillis = nowMillis;
	}

	/**
	 * Returns whether a report is of an earlier incarnation, so that it was delayed.
	 * @param report the report
	 * @return whether the present incarnation started later
	 */
	boolean isSuperseded(EndpointReport report) {
		return report.startedEpochMillis() > 0 && report.startedEpochMillis() < this.startedEpochMillis;
	}

	/**
	 * Returns whether a run was requested from an earlier incarnation.
	 * @param placement the placement of the run
	 * @return whether the present incarnation started later, by its own report or entry
	 */
	boolean isFromPreviousIncarnation(Placement placement) {
		return placement.endpointStartedEpochMillis() > 0
				&& placement.endpointStartedEpochMillis() < this.startedEpochMillis;
	}

	/**
	 * Returns the number that commands to this endpoint carry. The endpoint refuses a
	 * command with a lower one than it has received.
	 * @return the number
	 */
	long commandCount() {
		return this.commandCount;
	}

	/**
	 * Raises the number of the commands, so that this endpoint refuses the unconfirmed
	 * starts once it has received the next command.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void supersedeUnconfirmedStarts(long nowMillis) {
		this.commandCount = this.commandCounter.next();
		this.placements.values()
			.stream()
			.filter((placement) -> !placement.isAccepted())
			.forEach((placement) -> placement.startSuperseded(nowMillis));
	}

	/**
	 * Returns the jobs of the runs on this endpoint that this owner neither started nor
	 * adopted.
	 * @return the ids of the jobs
	 */
	Set<String> orphanedJobIds() {
		return this.orphanedJobIds;
	}

	/**
	 * Records the report of the endpoint on runs that this owner neither started nor
	 * adopted.
	 * @param jobIds the ids of their jobs
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void recordOrphans(Set<String> jobIds, long nowMillis) {
		this.orphanedJobIds = Set.copyOf(jobIds);
		this.orphansExtendedMillis = nowMillis;
		this.reported = true;
	}

	/**
	 * Records that this owner extends the lease of the endpoint, which also holds for
	 * such runs.
	 * @param nowMillis the current monotonic time in milliseconds
	 */
	void leaseExtended(long nowMillis) {
		this.orphansExtendedMillis = nowMillis;
	}

	/**
	 * Returns when the endpoint last reported on such runs, or when this owner last
	 * extended their lease.
	 * @return the time in milliseconds
	 */
	long orphansExtendedMillis() {
		return this.orphansExtendedMillis;
	}

	/**
	 * Returns whether the endpoint has reported to this owner. From then on it executes
	 * no command of a previous owner.
	 * @return whether it has
	 */
	boolean hasReported() {
		return this.reported;
	}

	/**
	 * Returns whether there are runs that may not have terminated, orphaned ones
	 * included.
	 * @return whether the endpoint is busy
	 */
	boolean isBusy() {
		return !this.placements.isEmpty() || !this.orphanedJobIds.isEmpty();
	}

	/**
	 * Gives the endpoint no tasks for a while, because it has less capacity than
	 * expected.
	 * @param untilMillis the end of the pause, in milliseconds
	 */
	void pauseUntil(long untilMillis) {
		this.pausedUntilMillis = untilMillis;
	}

	Resources free() {
		return this.entry.capacity().minus(this.used);
	}

	int placementCount() {
		return this.placements.size();
	}

	List<Placement> placements() {
		return new ArrayList<>(this.placements.values());
	}

	Optional<Placement> placement(TaskRun run) {
		return Optional.ofNullable(this.placements.get(run));
	}

	void add(Placement placement) {
		this.placements.put(placement.run(), placement);
		reserve(placement.task().step());
		this.suspectCount += (placement.isolation() != Isolation.NONE) ? 1 : 0;
		if (placement.isolation() == Isolation.REQUIRED) {
			this.isolatedPlacement = placement;
		}
	}

	void remove(Placement placement) {
		if (this.placements.remove(placement.run()) != null) {
			release(placement.task().step());
			this.suspectCount -= (placement.isolation() != Isolation.NONE) ? 1 : 0;
			this.isolatedPlacement = (this.isolatedPlacement == placement) ? null : this.isolatedPlacement;
		}
	}

	/**
	 * Returns whether the endpoint has no run and none is about to be placed here.
	 * @return whether it is idle
	 */
	boolean isIdle() {
		return this.reservationCount == 0;
	}

	/**
	 * Returns whether a run is here under whose task endpoints were lost before.
	 * @return whether there is one
	 */
	boolean hasSuspect() {
		return this.suspectCount > 0;
	}

	private boolean isIsolated(long nowMillis) {
		return this.isolatedPlacement != null
				&& nowMillis - this.isolatedPlacement.startRequestedMillis() < ISOLATED_START_MILLIS;
	}

	/**
	 * Reserves the resources for a task of a step.
	 * @param step the step
	 */
	void reserve(StepSpec step) {
		this.used = this.used.plus(step.reserved());
		this.reservationCount++;
		this.servingCount += step.traits().serving() ? 1 : 0;
		this.backfillCount += step.traits().backfill() ? 1 : 0;
	}

	void release(StepSpec step) {
		this.used = this.used.minus(step.reserved());
		this.reservationCount--;
		this.servingCount -= step.traits().serving() ? 1 : 0;
		this.backfillCount -= step.traits().backfill() ? 1 : 0;
	}

	/**
	 * Returns whether a task would interfere with others on this endpoint: backfill tasks
	 * slow down tasks that serve users.
	 * @param step the step of the task
	 * @return whether the task must not run here now
	 */
	boolean interferesWith(StepSpec step) {
		return step.traits().backfill() && this.servingCount > 0 || step.traits().serving() && this.backfillCount > 0;
	}

	/**
	 * Returns whether the endpoint is part of the capacity of the pool: it is listed, not
	 * about to leave, not drained and not suspected.
	 * @return whether its resources count
	 */
	boolean countsAsCapacity() {
		return this.listed && this.entry.ready() && !this.drained && !this.health.isSuspected();
	}

	/**
	 * Returns whether the endpoint accepts a task that fits. A start extends the lease,
	 * so there is none while a run has to end, nor while the end of the task might not be
	 * listed.
	 * @param nowMillis the current monotonic time in milliseconds
	 * @param responseTimeoutMillis the time since the last contact after which it gets no
	 * tasks, in milliseconds
	 * @return whether it accepts a task
	 */
	boolean acceptsTasks(long nowMillis, long responseTimeoutMillis) {
		return this.listed && !this.drained && this.entry.ready() && this.orphanedJobIds.isEmpty()
				&& nowMillis >= this.pausedUntilMillis && nowMillis - this.lastContactMillis <= responseTimeoutMillis
				&& !isIsolated(nowMillis) && this.health.acceptsTask(this::unprovenRunCount, nowMillis)
				&& !this.terminations.isFull() && !hasRunToEnd();
	}

	// A long-running task that is at work may stay for good, and says nothing more of the
	// endpoint.
	private int unprovenRunCount() {
		return (int) this.placements.values().stream().filter((placement) -> !placement.isAtWork()).count();
	}

	/**
	 * Returns whether a run is here that has to end and whose stop the endpoint has not
	 * confirmed.
	 * @return whether there is one, which only the end of the lease ends for certain
	 */
	boolean hasRunToEnd() {
		for (Placement placement : this.placements.values()) {
			if (placement.mustEnd()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns how many runs of a step are placed here.
	 * @param task a task of the step
	 * @return the number
	 */
	int runCountOfStep(PooledTask task) {
		return (int) this.placements.values()
			.stream()
			.filter((placement) -> placement.task().job() == task.job())
			.filter((placement) -> placement.task().id().step() == task.id().step())
			.count();
	}

}
