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

	OneShotBody(byte[] payload) {
		this.payload = payload;
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

	@Override
	public void writeTo(BufferedSink sink) throws IOException {
		sink.write(this.payload);
	}

}
