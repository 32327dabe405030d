package org.masticwick.daemon.connection;

import java.io.IOException;
import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;

import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Has the endpoint confirm with {@code 100 Continue} (RFC 9110, section 10.1.1) that it
 * reads the connection before the payload of a post is written. Without that, a post on a
 * connection that carries no bytes any more, or to a process that hangs, would leave open
 * whether its task starts later. A connection that has just delivered a reply needs no
 * confirmation.
 */
final class LivenessCheck implements Interceptor {

	/**
	 * How long after a reply the next post needs no confirmation. A confirmation costs a
	 * round trip; a connection that stops delivering within this time can still lose one
	 * post.
	 */
	private static final long MAX_UNCONFIRMED_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	private final Map<Connection, Long> lastReplyNanos = Collections.synchronizedMap(new WeakHashMap<>());

	@Override
	public Response intercept(Chain chain) throws IOException {
		Connection connection = chain.connection();
		Response response = chain.proceed(prepare(chain.request(), connection));
		this.lastReplyNanos.put(connection, System.nanoTime());
		return response;
	}

	private Request prepare(Request request, Connection connection) throws IOException {
		if (!(request.body() instanceof OneShotBody body)) {
			return request;
		}
		if (body.contentLength() == 0) {
			// Expect is not allowed without content (RFC 9110, section 10.1.1).
			body.startWriting();
			return request;
		}
		return deliveredAReplyRecently(connection) ? request
				: request.newBuilder().header("Expect", "100-continue").build();
	}

	private boolean deliveredAReplyRecently(Connection connection) {
		Long replyNanos = this.lastReplyNanos.get(connection);
		return replyNanos != null && System.nanoTime() - replyNanos <= MAX_UNCONFIRMED_NANOS;
	}

}
