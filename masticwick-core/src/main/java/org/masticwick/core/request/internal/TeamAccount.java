package org.masticwick.core.request.internal;

import java.util.ArrayList;
import java.util.List;

/**
 * Is what a team uses, on this host and, as far as is known, on its peers.
 */
final class TeamAccount {

	private final String name;

	private final List<TeamQueue> queues = new ArrayList<>();

	private double share;

	private double slotTime;

	private int queuedCount;

	private int runningCount;

	private int peerRunningCount;

	/**
	 * Creates an account.
	 * @param name the name of the account
	 * @param share the weight of the team
	 * @param slotTime the slot time by share that it starts with
	 */
	TeamAccount(String name, double share, double slotTime) {
		this.name = name;
		this.share = share;
		this.slotTime = slotTime;
	}

	/**
	 * Changes the account and puts its queues in their new places.
	 * @param change what to change
	 */
	void change(Runnable change) {
		this.queues.forEach(TeamQueue::detach);
		change.run();
		this.queues.forEach(TeamQueue::attach);
	}

	void add(TeamQueue queue) {
		this.queues.add(queue);
	}

	void remove(TeamQueue queue) {
		this.queues.remove(queue);
	}

	void charge(double slotNanos) {
		this.slotTime += slotNanos / this.share;
	}

	void bound(double least, double most) {
		this.slotTime = Math.max(least, Math.min(most, this.slotTime));
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

	void peerRunning(int count) {
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
	 * @return the time in nanoseconds, from a common origin
	 */
	double slotTime() {
		return this.slotTime;
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
