package org.masticwick.standin.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Holds the requests and answers of the platform back while it is a black hole.
 */
final class PlatformOutage {

	private static final int MAX_HELD_COUNT = 8192;

	private final Queue<Runnable> held = new ArrayDeque<>();

	private boolean blackhole;

	private volatile boolean down;

	/**
	 * Runs an action now, or once the black hole is cleared.
	 * @param action the action
	 */
	void runOrDefer(Runnable action) {
		synchronized (this) {
			if (this.blackhole) {
				if (this.held.size() < MAX_HELD_COUNT) {
					this.held.add(action);
				}
				return;
			}
		}
		action.run();
	}

	/**
	 * Sets or clears the black hole.
	 * @param value whether requests hang
	 */
	void setBlackhole(boolean value) {
		List<Runnable> released = new ArrayList<>();
		synchronized (this) {
			this.blackhole = value;
			if (!value) {
				released.addAll(this.held);
				this.held.clear();
			}
		}
		released.forEach(Runnable::run);
	}

	/**
	 * Tells whether requests hang.
	 * @return {@code true} if they do
	 */
	synchronized boolean blackhole() {
		return this.blackhole;
	}

	/**
	 * Sets or clears the outage.
	 * @param value whether every request gets 503
	 */
	void setDown(boolean value) {
		this.down = value;
	}

	/**
	 * Tells whether every request gets 503.
	 * @return {@code true} if it does
	 */
	boolean down() {
		return this.down;
	}

}
