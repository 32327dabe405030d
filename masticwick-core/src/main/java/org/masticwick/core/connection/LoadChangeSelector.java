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
	public LoadReport next(LoadReport load) {
		return new LoadReport(this.services.next(load.services(), this.budget.serviceCount()),
				this.endpoints.next(load.outstanding(), this.budget.endpointCount()),
				this.teams.next(load.teamRunning(), this.budget.teamCount()));
	}

	/**
	 * Counts a whole report as sent to everybody.
	 * @param load the load
	 */
	public void sentWhole(LoadReport load) {
		this.services.sentWhole(load.services());
		this.endpoints.sentWhole(load.outstanding());
		this.teams.sentWhole(load.teamRunning());
	}

	/**
	 * Returns what those know who got everything that was sent.
	 * @return the load as it was sent
	 */
	public LoadReport told() {
		return new LoadReport(this.services.told(), this.endpoints.told(), this.teams.told());
	}

	private static long distance(ServiceLoad one, ServiceLoad other) {
		return Math.abs((long) one.queuedCount() - other.queuedCount())
				+ Math.abs((long) one.runningCount() - other.runningCount())
				+ Math.abs((long) one.slotCount() - other.slotCount())
				+ Math.abs(one.waitMillis() - other.waitMillis());
	}

}
