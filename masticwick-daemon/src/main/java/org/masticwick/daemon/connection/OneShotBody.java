package org.masticwick.daemon.connection;

import java.io.IOException;

import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/**
 * Body of a post that OkHttp must not send again, not even for replies that ask for a
 * retry or a redirect, since the endpoint could start the task twice.
 */
final class OneShotBody extends RequestBody {

	private static final MediaType OCTETS = MediaType.get("application/octet-stream");

	private final byte[] payload;

	private final WriteTracker writeTracker;

	OneShotBody(byte[] payload, WriteTracker writeTracker) {
		this.payload = payload;
		this.writeTracker = writeTracker;
	}

	@Override
	public MediaType contentType() {
		return OCTETS;
	}

	@Override
	public long contentLength() {
		return this.payload.length;
	}

	@Override
	public boolean isOneShot() {
		return true;
	}

	/**
	 * Marks the payload as written. A request with an empty payload is complete with its
	 * headers, so this is then called before they are written.
	 * @throws IOException if the post was withdrawn
	 */
	void startWriting() throws IOException {
		if (!this.writeTracker.startWriting()) {
			throw new IOException("The post was withdrawn before its payload was written");
		}
	}

	@Override
	public void writeTo(BufferedSink sink) throws IOException {
		startWriting();
		sink.write(this.payload);
	}

}
