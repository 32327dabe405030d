package org.masticwick.daemon.connection;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;

/**
 * Records whether a byte of a request may have been written. It is attached to its
 * request as a tag.
 */
final class WriteTracker extends EventListener {

	private volatile boolean writeStarted;

	/**
	 * Returns the tracker of a request.
	 * @param request the request
	 * @return the tracker in the request's tag, or an unattached one if it has none
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
	 * Returns whether OkHttp has started to write the request.
	 * @return {@code true} if a byte may have been written
	 */
	boolean writeStarted() {
		return this.writeStarted;
	}

}
