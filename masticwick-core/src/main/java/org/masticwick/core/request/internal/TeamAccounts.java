package org.masticwick.core.request.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.request.DispatchRules;

/**
 * Keeps the accounts of the teams that have work and charges what they use. Shares only
 * matter among teams that have work, so an unused share is lent out; what a team used
 * elsewhere or before counts up to a bound.
 */
final class TeamAccounts {

	private static final double MAX_LEAD_NANOS = 2 * TimeMath.NANOS_PER_SECOND;

	private final Map<String, TeamAccount> accounts = new HashMap<>();

	private DispatchRules rules;

	private double virtualTimeNanos;

	/**
	 * Creates an object without accounts.
	 * @param rules the rules
	 */
	TeamAccounts(DispatchRules rules) {
		this.rules = rules;
	}

	/**
	 * Takes over rules.
	 * @param newRules the rules
	 */
	void applyRules(DispatchRules newRules) {
		this.rules = newRules;
		this.accounts.values()
			.forEach((account) -> account.changeAndReorder(() -> account.share(newRules.shareOf(account.name()))));
	}

	/**
	 * Returns the account of a team that has work, new if need be.
	 * @param team the team
	 * @return the account
	 */
	TeamAccount getOrCreate(String team) {
		String name = this.rules.accountOf(team);
		return this.accounts.computeIfAbsent(name,
				(key) -> new TeamAccount(key, this.rules.shareOf(key), this.virtualTimeNanos));
	}

	/**
	 * Takes in that a team gets work queued.
	 * @param account the account
	 */
	void prepareEnqueue(TeamAccount account) {
		if (account.queuedCount() == 0) {
			double maxSlotTimeNanos = this.virtualTimeNanos + MAX_LEAD_NANOS / account.share();
			account.changeAndReorder(() -> account.clampSlotTime(this.virtualTimeNanos, maxSlotTimeNanos));
		}
	}

	/**
	 * Takes in a start.
	 * @param account the account
	 * @param expectedNanos the expected run time in nanoseconds
	 * @param firstInOrder whether the team was the first of all that wait; an urgent
	 * start isn't while others wait
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
	 * Takes in the end of a start.
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
	 * Forgets an account that has no work any more.
	 * @param account the account
	 */
	void removeIfIdle(TeamAccount account) {
		if (account.idle()) {
			this.accounts.remove(account.name(), account);
		}
	}

	/**
	 * Takes in what the peers run.
	 * @param runningCountsByTeam the tasks that all peers run, by team
	 * @param addedNanosByTeam by how much time a peer's report adds to the slot time, in
	 * nanoseconds
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
	 * Returns the part of the slots that a team may claim among those that have work.
	 * @param account the account
	 * @return the part, 0 to 1
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
