package org.masticwick.daemon.connection;

import java.io.IOException;

import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/**
 * Is the body of a post, which OkHttp must not send again whatever the reply says.
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
