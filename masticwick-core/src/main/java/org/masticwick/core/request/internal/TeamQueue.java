package org.masticwick.core.request.internal;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Holds the waiting jobs of one team for one service and urgency, in their order.
 */
final class TeamQueue {

	/** Orders queues by the rank of their teams. */
	static final Comparator<TeamQueue> BY_RANK = Comparator.comparingDouble((TeamQueue queue) -> queue.rank)
		.thenComparing((queue) -> queue.account.name());

	private final NavigableSet<JobEntry> jobs = new TreeSet<>(JobEntry.BY_RANK);

	private final TeamAccount account;

	private final NavigableSet<TeamQueue> siblings;

	private final boolean urgent;

	private TeamOrder order;

	private double rank;

	/**
	 * Creates an empty queue.
	 * @param account the work of the team
	 * @param siblings where the queue stands while it has jobs
	 * @param urgent whether the jobs are urgent
	 * @param order the order of the teams
	 */
	TeamQueue(TeamAccount account, NavigableSet<TeamQueue> siblings, boolean urgent, TeamOrder order) {
		this.account = account;
		this.siblings = siblings;
		this.urgent = urgent;
		this.order = order;
	}

	void attach() {
		if (!this.jobs.isEmpty()) {
			this.rank = this.order.rank(this.account);
			this.siblings.add(this);
		}
	}

	void detach() {
		this.siblings.remove(this);
	}

	void order(TeamOrder newOrder) {
		detach();
		this.order = newOrder;
		attach();
	}

	void add(JobEntry job) {
		this.jobs.add(job);
		if (this.jobs.size() == 1) {
			attach();
		}
	}

	void remove(JobEntry job) {
		this.jobs.remove(job);
		if (this.jobs.isEmpty()) {
			detach();
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
