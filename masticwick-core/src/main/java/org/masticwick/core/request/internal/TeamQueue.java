package org.masticwick.core.request.internal;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * The queued jobs of one team for one service and urgency, ordered by rank.
 */
final class TeamQueue {

	/**
	 * Orders queues by the rank of their teams, and those of equal rank by account name.
	 */
	static final Comparator<TeamQueue> BY_RANK = Comparator.comparingDouble((TeamQueue queue) -> queue.rank)
		.thenComparing((queue) -> queue.account.name());

	private final NavigableSet<JobEntry> jobs = new TreeSet<>(JobEntry.BY_RANK);

	private final TeamAccount account;

	private final NavigableSet<TeamQueue> queuesByRank;

	private final boolean urgent;

	private TeamOrder order;

	private double rank;

	/**
	 * Creates an empty queue.
	 * @param account the account of the team
	 * @param queuesByRank the set, ordered by rank, that contains the queue while it has
	 * jobs
	 * @param urgent whether the jobs are urgent
	 * @param order the order of the teams
	 */
	TeamQueue(TeamAccount account, NavigableSet<TeamQueue> queuesByRank, boolean urgent, TeamOrder order) {
		this.account = account;
		this.queuesByRank = queuesByRank;
		this.urgent = urgent;
		this.order = order;
	}

	void insertByRank() {
		if (!this.jobs.isEmpty()) {
			this.rank = this.order.rank(this.account);
			this.queuesByRank.add(this);
		}
	}

	void removeFromOrder() {
		this.queuesByRank.remove(this);
	}

	void order(TeamOrder newOrder) {
		removeFromOrder();
		this.order = newOrder;
		insertByRank();
	}

	void add(JobEntry job) {
		this.jobs.add(job);
		if (this.jobs.size() == 1) {
			insertByRank();
		}
	}

	void remove(JobEntry job) {
		this.jobs.remove(job);
		if (this.jobs.isEmpty()) {
			removeFromOrder();
		}
	}

	boolean isEmpty() {
		return this.jobs.isEmpty();
	}

	NavigableSet<JobEntry> jobs() {
		return this.jobs;
	}

	TeamAccount account() {
		return this.account;
	}

	boolean urgent() {
		return this.urgent;
	}

}
