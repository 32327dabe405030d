package org.masticwick.daemon.connection;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;

/**
 * Notes whether a byte of a request may have been written. It travels as a tag of the
 * request.
 */
final class WriteTracker extends EventListener {

	private volatile boolean writeStarted;

	/**
	 * Returns the watch of a request.
	 * @param request the request
	 * @return its watch, or one that nobody looks at
	 */
	static WriteTracker of(Request request) {
		WriteTracker tracker = request.tag(WriteTracker.class);
		return (tracker != null) ? tracker : new WriteTracker();
	}

	@Override
	public void requestHeadersStart(Call call) {
		this.writeStarted = true;
	}

	/**
	 * Returns whether OkHttp has begun to write the request.
	 * @return {@code true} if a byte may have been written
	 */
	boolean writeStarted() {
		return this.writeStarted;
	}

}
