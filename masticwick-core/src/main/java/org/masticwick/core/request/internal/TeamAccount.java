package org.masticwick.core.request.internal;

import java.util.ArrayList;
import java.util.List;

/**
 * The use of slots by a team, on this host and, by their reports, on its peers.
 */
final class TeamAccount {

	private final String name;

	private final List<TeamQueue> queues = new ArrayList<>();

	private double share;

	private double weightedSlotTimeNanos;

	private int queuedCount;

	private int runningCount;

	private int peerRunningCount;

	/**
	 * Creates an account.
	 * @param name the name of the account
	 * @param share the fair-share weight of the team
	 * @param weightedSlotTimeNanos the initial slot time divided by share, in nanoseconds
	 */
	TeamAccount(String name, double share, double weightedSlotTimeNanos) {
		this.name = name;
		this.share = share;
		this.weightedSlotTimeNanos = weightedSlotTimeNanos;
	}

	/**
	 * Changes the account and moves its queues to their new positions in the order of
	 * teams.
	 * @param change the change, which may affect the rank of the team
	 */
	void changeAndReorder(Runnable change) {
		this.queues.forEach(TeamQueue::removeFromOrder);
		change.run();
		this.queues.forEach(TeamQueue::insertByRank);
	}

	void addQueue(TeamQueue queue) {
		this.queues.add(queue);
	}

	void removeQueue(TeamQueue queue) {
		this.queues.remove(queue);
	}

	void charge(double slotNanos) {
		this.weightedSlotTimeNanos += slotNanos / this.share;
	}

	void clampSlotTime(double minNanos, double maxNanos) {
		this.weightedSlotTimeNanos = Math.max(minNanos, Math.min(maxNanos, this.weightedSlotTimeNanos));
	}

	void share(double newShare) {
		this.share = newShare;
	}

	void addQueued(int count) {
		this.queuedCount += count;
	}

	void addRunning(int count) {
		this.runningCount += count;
	}

	void peerRunningCount(int count) {
		this.peerRunningCount = count;
	}

	String name() {
		return this.name;
	}

	double share() {
		return this.share;
	}

	/**
	 * Returns the slot time that the team used, divided by its share.
	 * @return the weighted slot time in nanoseconds, on the virtual time scale that all
	 * accounts share
	 */
	double weightedSlotTimeNanos() {
		return this.weightedSlotTimeNanos;
	}

	int queuedCount() {
		return this.queuedCount;
	}

	int runningCount() {
		return this.runningCount;
	}

	int peerRunningCount() {
		return this.peerRunningCount;
	}

	boolean idle() {
		return this.queuedCount == 0 && this.runningCount == 0;
	}

}
