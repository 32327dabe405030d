package org.masticwick.core.connection;

import java.util.function.ToLongBiFunction;

import org.masticwick.core.process.HostAddress;

/**
 * Selects the load entries to send in the next heartbeat: those that differ most from the
 * values last sent, within a budget. Not safe for several threads.
 */
public final class LoadChangeSelector {

	private static final ToLongBiFunction<Integer, Integer> COUNT_DISTANCE = (left, right) -> Math
		.abs((long) left - right);

	private final ChangeSelector<String, ServiceLoad> services = new ChangeSelector<>(new ServiceLoad(0, 0, 0, 0),
			LoadChangeSelector::distance);

	private final ChangeSelector<HostAddress, Integer> endpoints = new ChangeSelector<>(0, COUNT_DISTANCE);

	private final ChangeSelector<String, Integer> teams = new ChangeSelector<>(0, COUNT_DISTANCE);

	private final LoadBudget budget;

	/**
	 * Creates a selector without any sent entries.
	 * @param budget the maximum number of entries in one heartbeat
	 */
	public LoadChangeSelector(LoadBudget budget) {
		this.budget = budget;
	}

	/**
	 * Returns the entries to send now, and marks them as sent.
	 * @param load the current load
	 * @return the changed entries, with zeros for entries that no longer exist
	 */
	public LoadReport selectChanges(LoadReport load) {
		return new LoadReport(this.services.selectChanges(load.services(), this.budget.serviceCount()),
				this.endpoints.selectChanges(load.outstanding(), this.budget.endpointCount()),
				this.teams.selectChanges(load.teamRunning(), this.budget.teamCount()));
	}

	/**
	 * Marks a complete report as sent to all peers.
	 * @param load the report
	 */
	public void markAllSent(LoadReport load) {
		this.services.markAllSent(load.services());
		this.endpoints.markAllSent(load.outstanding());
		this.teams.markAllSent(load.teamRunning());
	}

	/**
	 * Returns the load as a peer sees it that received everything sent so far.
	 * @return the last sent value of each entry
	 */
	public LoadReport lastSent() {
		return new LoadReport(this.services.lastSent(), this.endpoints.lastSent(), this.teams.lastSent());
	}

	private static long distance(ServiceLoad left, ServiceLoad right) {
		return Math.abs((long) left.queuedCount() - right.queuedCount())
				+ Math.abs((long) left.runningCount() - right.runningCount())
				+ Math.abs((long) left.slotCount() - right.slotCount())
				+ Math.abs(left.waitMillis() - right.waitMillis());
	}

}
