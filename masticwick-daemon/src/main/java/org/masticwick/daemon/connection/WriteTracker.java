package org.masticwick.daemon.connection;

import java.util.concurrent.atomic.AtomicReference;

import okhttp3.Request;

/**
 * Decides once whether the payload of a post is written or the post is withdrawn. It is
 * attached to its request as a tag. An endpoint runs a task only after it has received
 * the whole request, so a task whose post was withdrawn never starts.
 */
final class WriteTracker {

	private final AtomicReference<State> state = new AtomicReference<>(State.NOT_STARTED);

	/**
	 * Returns the tracker of a request.
	 * @param request the request
	 * @return the tracker in the request's tag, or an unattached one if it has none
	 */
	static WriteTracker of(Request request) {
		WriteTracker tracker = request.tag(WriteTracker.class);
		return (tracker != null) ? tracker : new WriteTracker();
	}

	/**
	 * Marks the payload as written, before its first byte is. Further calls have no
	 * effect.
	 * @return {@code false} if the post was withdrawn, so that nothing may be written
	 */
	boolean startWriting() {
		return this.state
			.updateAndGet((current) -> (current == State.NOT_STARTED) ? State.STARTED : current) == State.STARTED;
	}

	/**
	 * Withdraws the post unless a byte of its payload may have been written.
	 * @return {@code true} if the payload was not written and never will be
	 */
	boolean withdraw() {
		return this.state
			.updateAndGet((current) -> (current == State.NOT_STARTED) ? State.WITHDRAWN : current) == State.WITHDRAWN;
	}

	private enum State {

		NOT_STARTED, STARTED, WITHDRAWN

	}

}
