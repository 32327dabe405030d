package org.masticwick.daemon.connection;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;

/**
 * Notes whether a byte of a request may have been written. It travels as a tag of the
 * request.
 */
final class WriteWatch extends EventListener {

	private volatile boolean begun;

	/**
	 * Returns the watch of a request.
	 * @param request the request
	 * @return its watch, or one that nobody looks at
	 */
	static WriteWatch of(Request request) {
		WriteWatch watch = request.tag(WriteWatch.class);
		return (watch != null) ? watch : new WriteWatch();
	}

	@Override
	public void requestHeadersStart(Call call) {
		this.begun = true;
	}

	/**
	 * Returns whether OkHttp has begun to write the request.
	 * @return {@code true} if a byte may have been written
	 */
	boolean begun() {
		return this.begun;
	}

}
