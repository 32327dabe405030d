package org.masticwick.core.request.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.request.DispatchRules;

/**
 * The accounts of the teams with queued or running tasks, which implement weighted fair
 * queueing. A team without tasks has no account, so the capacity of its share goes to the
 * other teams. Slot time that a team used earlier or on peers counts against it only up
 * to a limit.
 */
final class TeamAccounts {

	private static final double MAX_LEAD_NANOS = 2 * TimeMath.NANOS_PER_SECOND;

	private final Map<String, TeamAccount> accounts = new HashMap<>();

	private DispatchRules rules;

	private double virtualTimeNanos;

	/**
	 * Creates an empty set of accounts.
	 * @param rules the dispatch rules that set the shares
	 */
	TeamAccounts(DispatchRules rules) {
		this.rules = rules;
	}

	/**
	 * Applies new dispatch rules to all accounts.
	 * @param newRules the new rules
	 */
	void applyRules(DispatchRules newRules) {
		this.rules = newRules;
		this.accounts.values()
			.forEach((account) -> account.changeAndReorder(() -> account.share(newRules.shareOf(account.name()))));
	}

	/**
	 * Returns the account of a team, creating it if necessary.
	 * @param team the team
	 * @return the account
	 */
	TeamAccount getOrCreate(String team) {
		String name = this.rules.accountOf(team);
		return this.accounts.computeIfAbsent(name,
				(key) -> new TeamAccount(key, this.rules.shareOf(key), this.virtualTimeNanos));
	}

	/**
	 * Prepares an account for queueing. If the team has no queued tasks, its slot time is
	 * clamped to the range from the current virtual time to that time plus a limit, so
	 * that idle time earns no credit and earlier use does not block the team for long.
	 * @param account the account
	 */
	void prepareEnqueue(TeamAccount account) {
		if (account.queuedCount() == 0) {
			double maxSlotTimeNanos = this.virtualTimeNanos + MAX_LEAD_NANOS / account.share();
			account.changeAndReorder(() -> account.clampSlotTime(this.virtualTimeNanos, maxSlotTimeNanos));
		}
	}

	/**
	 * Charges the expected run time of a started task.
	 * @param account the account
	 * @param expectedNanos the expected run time in nanoseconds
	 * @param firstInOrder whether the team was first in the order of all queued teams,
	 * which advances the virtual time; {@code false} for an urgent start while regular
	 * jobs are queued
	 */
	void chargeStart(TeamAccount account, double expectedNanos, boolean firstInOrder) {
		if (firstInOrder) {
			this.virtualTimeNanos = Math.max(this.virtualTimeNanos, account.weightedSlotTimeNanos());
		}
		account.changeAndReorder(() -> {
			account.addRunning(1);
			account.charge(expectedNanos);
		});
	}

	/**
	 * Replaces the charge for the expected run time of a task by the slot time it used,
	 * and removes the account if it is idle.
	 * @param account the account
	 * @param expectedNanos the run time that was charged, in nanoseconds
	 * @param usedNanos the slot time that was used, in nanoseconds
	 */
	void settleStart(TeamAccount account, double expectedNanos, double usedNanos) {
		account.changeAndReorder(() -> {
			account.addRunning(-1);
			account.charge(usedNanos - expectedNanos);
		});
		removeIfIdle(account);
	}

	/**
	 * Removes an account without queued or running tasks.
	 * @param account the account
	 */
	void removeIfIdle(TeamAccount account) {
		if (account.idle()) {
			this.accounts.remove(account.name(), account);
		}
	}

	/**
	 * Records the tasks that peers run and charges the slot time they used.
	 * @param runningCountsByTeam the number of tasks that all peers run, by team
	 * @param addedNanosByTeam the slot time to charge for the report of a peer, in
	 * nanoseconds, by team
	 */
	void recordPeerUsage(Map<String, Integer> runningCountsByTeam, Map<String, Double> addedNanosByTeam) {
		Map<String, Integer> runningCountsByAccount = new HashMap<>();
		runningCountsByTeam
			.forEach((team, count) -> runningCountsByAccount.merge(this.rules.accountOf(team), count, Integer::sum));
		Map<String, Double> addedNanosByAccount = new HashMap<>();
		addedNanosByTeam
			.forEach((team, nanos) -> addedNanosByAccount.merge(this.rules.accountOf(team), nanos, Double::sum));
		this.accounts.values().forEach((account) -> account.changeAndReorder(() -> {
			account.peerRunningCount(runningCountsByAccount.getOrDefault(account.name(), 0));
			double usedNanos = addedNanosByAccount.getOrDefault(account.name(), 0.0);
			if (usedNanos > 0) {
				double maxSlotTimeNanos = this.virtualTimeNanos + MAX_LEAD_NANOS / account.share();
				account.charge(Math.min(usedNanos,
						Math.max(0, maxSlotTimeNanos - account.weightedSlotTimeNanos()) * account.share()));
			}
		}));
	}

	/**
	 * Returns the fraction of the slots to which a team is entitled among the teams with
	 * work.
	 * @param account the account
	 * @return the fraction, 0 to 1
	 */
	double shareFraction(TeamAccount account) {
		double otherShares = this.accounts.values()
			.stream()
			.filter((other) -> other != account)
			.mapToDouble(TeamAccount::share)
			.sum();
		return account.share() / (account.share() + otherShares);
	}

	Collection<TeamAccount> accounts() {
		return this.accounts.values();
	}

}
