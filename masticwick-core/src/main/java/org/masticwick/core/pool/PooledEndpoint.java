package org.masticwick.core.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An endpoint of a pool and what the owner has ordered on it.
 */
final class PooledEndpoint {

	/** How fast clocks may drift apart, as a share; more than endpoints may be slow. */
	private static final double MAX_DRIFT = 0.03;

	private final Map<TaskRun, Placement> placements = new LinkedHashMap<>();

	private final EndpointHealth health = new EndpointHealth();

	private EndpointEntry entry;

	private Resources used = Resources.NONE;

	private long lastContactMillis;

	private double clockOffsetMillis;

	private long clockReportedMillis = -1;

	private long startedEpochMillis;

	private TerminationTracker terminations = new TerminationTracker();

	private int servingCount;

	private int backfillCount;

	private int orphanedRunCount;

	private boolean listed = true;

	private long pausedUntilMillis;

	PooledEndpoint(EndpointEntry entry) {
		this.entry = entry;
		this.startedEpochMillis = entry.startedEpochMillis();
		this.lastContactMillis = Long.MIN_VALUE / 2;
	}

	/**
	 * Returns the entry with the birth that the endpoint itself told last.
	 * @return the entry
	 */
	EndpointEntry transfer() {
		return new EndpointEntry(this.entry.id(), this.entry.service(), this.entry.address(), this.entry.domain(),
				this.entry.ready(), this.entry.capacity(), this.entry.labels(), this.startedEpochMillis);
	}

	EndpointEntry entry() {
		return this.entry;
	}

	void entry(EndpointEntry newest) {
		this.entry = newest;
		this.listed = true;
	}

	boolean isListed() {
		return this.listed;
	}

	void unlist() {
		this.listed = false;
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
	 * Takes note of the endpoint's clock. Of all reports the one that came with the least
	 * delay tells best how the clocks differ; older ones count less, as clocks drift.
	 * @param clockMillis the endpoint's clock when it wrote its report
	 * @param nowMillis when the report came, in milliseconds
	 */
	void recordClock(long clockMillis, long nowMillis) {
		double driftMillis = MAX_DRIFT * (nowMillis - this.clockReportedMillis);
		boolean first = this.clockReportedMillis < 0;
		double offsetMillis = clockMillis - nowMillis;
		this.clockOffsetMillis = first ? offsetMillis : Math.max(offsetMillis, this.clockOffsetMillis - driftMillis);
		this.clockReportedMillis = nowMillis;
	}

	/**
	 * Returns when a report was written, by the owner's clock.
	 * @param clockMillis the endpoint's clock in the report
	 * @return the time in milliseconds
	 */
	long writtenMillis(long clockMillis) {
		return Math.round(clockMillis - this.clockOffsetMillis);
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
		this.orphanedRunCount = 0;
		this.clockReportedMillis = -1;
	}

	int orphanedRunCount() {
		return this.orphanedRunCount;
	}

	void orphanedRunCount(int count) {
		this.orphanedRunCount = count;
	}

	/**
	 * Leaves the endpoint alone for a while, as it has less room than it should.
	 * @param untilMillis until when, in milliseconds
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
	}

	void remove(Placement placement) {
		if (this.placements.remove(placement.run()) != null) {
			release(placement.task().step());
		}
	}

	/**
	 * Sets aside what a task of a step takes.
	 * @param step the step
	 */
	void reserve(StepSpec step) {
		this.used = this.used.plus(step.reserved());
		this.servingCount += step.traits().serving() ? 1 : 0;
		this.backfillCount += step.traits().backfill() ? 1 : 0;
	}

	void release(StepSpec step) {
		this.used = this.used.minus(step.reserved());
		this.servingCount -= step.traits().serving() ? 1 : 0;
		this.backfillCount -= step.traits().backfill() ? 1 : 0;
	}

	/**
	 * Returns whether a task would disturb others here or be disturbed: backfill slows
	 * tasks that serve users.
	 * @param step the step of the task
	 * @return whether they must not run beside each other
	 */
	boolean interferesWith(StepSpec step) {
		return step.traits().backfill() && this.servingCount > 0 || step.traits().serving() && this.backfillCount > 0;
	}

	/**
	 * Returns whether the endpoint may get a task now, if the task fits.
	 * @param nowMillis the time in milliseconds
	 * @param responseTimeoutMillis after how long without an answer it gets none, in
	 * milliseconds
	 * @return whether it may
	 */
	boolean acceptsTasks(long nowMillis, long responseTimeoutMillis) {
		return this.listed && this.entry.ready() && this.orphanedRunCount == 0 && nowMillis >= this.pausedUntilMillis
				&& nowMillis - this.lastContactMillis <= responseTimeoutMillis
				&& this.health.acceptsTask(this.placements.size(), nowMillis);
	}

	/**
	 * Returns how many tasks of a step run here.
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
