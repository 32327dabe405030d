package org.masticwick.core.connection;

import java.util.function.ToLongBiFunction;

import org.masticwick.core.process.HostAddress;

/**
 * Chooses the entries of the load that go into the next heartbeat: those that differ most
 * from what was sent. Not safe for several threads.
 */
public final class LoadChangeSelector {

	private static final ToLongBiFunction<Integer, Integer> COUNT_DISTANCE = (one, other) -> Math
		.abs((long) one - other);

	private final ChangeSelector<String, ServiceLoad> services = new ChangeSelector<>(new ServiceLoad(0, 0, 0, 0),
			LoadChangeSelector::distance);

	private final ChangeSelector<HostAddress, Integer> endpoints = new ChangeSelector<>(0, COUNT_DISTANCE);

	private final ChangeSelector<String, Integer> teams = new ChangeSelector<>(0, COUNT_DISTANCE);

	private final LoadBudget budget;

	/**
	 * Creates a selector that has sent nothing.
	 * @param budget how many entries go into one heartbeat
	 */
	public LoadChangeSelector(LoadBudget budget) {
		this.budget = budget;
	}

	/**
	 * Returns the entries to send now, and counts them as sent.
	 * @param load the load
	 * @return the changed entries, with zeros for those that are gone
	 */
	public LoadReport selectChanges(LoadReport load) {
		return new LoadReport(this.services.selectChanges(load.services(), this.budget.serviceCount()),
				this.endpoints.selectChanges(load.outstanding(), this.budget.endpointCount()),
				this.teams.selectChanges(load.teamRunning(), this.budget.teamCount()));
	}

	/**
	 * Counts a whole report as sent to everybody.
	 * @param load the load
	 */
	public void markAllSent(LoadReport load) {
		this.services.markAllSent(load.services());
		this.endpoints.markAllSent(load.outstanding());
		this.teams.markAllSent(load.teamRunning());
	}

	/**
	 * Returns what those know who got everything that was sent.
	 * @return the load as it was sent
	 */
	public LoadReport lastSent() {
		return new LoadReport(this.services.lastSent(), this.endpoints.lastSent(), this.teams.lastSent());
	}

	private static long distance(ServiceLoad one, ServiceLoad other) {
		return Math.abs((long) one.queuedCount() - other.queuedCount())
				+ Math.abs((long) one.runningCount() - other.runningCount())
				+ Math.abs((long) one.slotCount() - other.slotCount())
				+ Math.abs(one.waitMillis() - other.waitMillis());
	}

}
