package org.masticwick.standin.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Simulates two outages of the platform: while it is down, requests get 503; while it is
 * a black hole, requests and responses are held back until that is cleared.
 */
final class PlatformOutage {

	private static final int MAX_DEFERRED_COUNT = 8192;

	private final Queue<Runnable> deferredActions = new ArrayDeque<>();

	private boolean blackhole;

	private volatile boolean down;

	/**
	 * Runs an action now or, while the platform is a black hole, defers it until that is
	 * cleared. An action beyond the limit of deferred ones is discarded: its client never
	 * gets a response.
	 * @param action the handling of a request or the sending of a response
	 */
	void runOrDefer(Runnable action) {
		synchronized (this) {
			if (this.blackhole) {
				if (this.deferredActions.size() < MAX_DEFERRED_COUNT) {
					this.deferredActions.add(action);
				}
				return;
			}
		}
		action.run();
	}

	/**
	 * Sets or clears the black hole. Clearing runs the deferred actions in their order.
	 * @param value whether requests and responses are held back
	 */
	void setBlackhole(boolean value) {
		List<Runnable> releasedActions = new ArrayList<>();
		synchronized (this) {
			this.blackhole = value;
			if (!value) {
				releasedActions.addAll(this.deferredActions);
				this.deferredActions.clear();
			}
		}
		releasedActions.forEach(Runnable::run);
	}

	/**
	 * Returns whether requests and responses are held back.
	 * @return {@code true} while the platform is a black hole
	 */
	synchronized boolean blackhole() {
		return this.blackhole;
	}

	/**
	 * Sets or clears the state in which every request gets 503.
	 * @param value whether every request gets 503
	 */
	void setDown(boolean value) {
		this.down = value;
	}

	/**
	 * Returns whether every request gets 503.
	 * @return {@code true} while the platform is down
	 */
	boolean down() {
		return this.down;
	}

}
