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
final class Teams {

	private static final double MAX_DEBT_NANOS = 2 * Times.NANOS_PER_SECOND;

	private final Map<String, TeamAccount> accounts = new HashMap<>();

	private DispatchRules rules;

	private double currentSlotTime;

	/**
	 * Creates an object without accounts.
	 * @param rules the rules
	 */
	Teams(DispatchRules rules) {
		this.rules = rules;
	}

	/**
	 * Takes over rules.
	 * @param newRules the rules
	 */
	void rules(DispatchRules newRules) {
		this.rules = newRules;
		this.accounts.values()
			.forEach((account) -> account.change(() -> account.share(newRules.shareOf(account.name()))));
	}

	/**
	 * Returns the account of a team that has work, new if need be.
	 * @param team the team
	 * @return the account
	 */
	TeamAccount open(String team) {
		String name = this.rules.accountOf(team);
		return this.accounts.computeIfAbsent(name,
				(key) -> new TeamAccount(key, this.rules.shareOf(key), this.currentSlotTime));
	}

	/**
	 * Takes in that a team gets work queued.
	 * @param account the account
	 */
	void queued(TeamAccount account) {
		if (account.queuedCount() == 0) {
			double most = this.currentSlotTime + MAX_DEBT_NANOS / account.share();
			account.change(() -> account.bound(this.currentSlotTime, most));
		}
	}

	/**
	 * Takes in a start.
	 * @param account the account
	 * @param expectedNanos the expected run time in nanoseconds
	 * @param inTurn whether the team was the first of all that wait; an urgent start
	 * isn't while others wait
	 */
	void started(TeamAccount account, double expectedNanos, boolean inTurn) {
		if (inTurn) {
			this.currentSlotTime = Math.max(this.currentSlotTime, account.slotTime());
		}
		account.change(() -> {
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
	void ended(TeamAccount account, double expectedNanos, double usedNanos) {
		account.change(() -> {
			account.addRunning(-1);
			account.charge(usedNanos - expectedNanos);
		});
		close(account);
	}

	/**
	 * Forgets an account that has no work any more.
	 * @param account the account
	 */
	void close(TeamAccount account) {
		if (account.idle()) {
			this.accounts.remove(account.name(), account);
		}
	}

	/**
	 * Takes in what the peers run.
	 * @param runningCounts the tasks that all peers run, by team
	 * @param added by how much time a peer's report adds to the slot time, in nanoseconds
	 */
	void peers(Map<String, Integer> runningCounts, Map<String, Double> added) {
		Map<String, Integer> byAccount = new HashMap<>();
		runningCounts.forEach((team, count) -> byAccount.merge(this.rules.accountOf(team), count, Integer::sum));
		Map<String, Double> addedByAccount = new HashMap<>();
		added.forEach((team, nanos) -> addedByAccount.merge(this.rules.accountOf(team), nanos, Double::sum));
		this.accounts.values().forEach((account) -> account.change(() -> {
			account.peerRunning(byAccount.getOrDefault(account.name(), 0));
			double usedNanos = addedByAccount.getOrDefault(account.name(), 0.0);
			if (usedNanos > 0) {
				double most = this.currentSlotTime + MAX_DEBT_NANOS / account.share();
				account.charge(Math.min(usedNanos, Math.max(0, most - account.slotTime()) * account.share()));
			}
		}));
	}

	/**
	 * Returns the part of the slots that a team may claim among those that have work.
	 * @param account the account
	 * @return the part, 0 to 1
	 */
	double part(TeamAccount account) {
		double others = this.accounts.values()
			.stream()
			.filter((other) -> other != account)
			.mapToDouble(TeamAccount::share)
			.sum();
		return account.share() / (account.share() + others);
	}

	Collection<TeamAccount> accounts() {
		return this.accounts.values();
	}

}
