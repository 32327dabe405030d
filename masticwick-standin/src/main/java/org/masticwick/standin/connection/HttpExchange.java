package org.masticwick.standin.connection;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * One HTTP request and the means to respond to it. The first call of
 * {@link #respond(HttpResponse)} or {@link #abort()} completes the exchange; later calls
 * are ignored.
 */
public final class HttpExchange {

	private static final Logger logger = LoggerFactory.getLogger(HttpExchange.class);

	private final HttpConnection connection;

	private final String method;

	private final QueryStringDecoder uri;

	private final HttpHeaders headers;

	private final boolean keepAlive;

	private final byte[] body;

	private final AtomicBoolean completed = new AtomicBoolean();

	HttpExchange(HttpConnection connection, FullHttpRequest request) {
		this.connection = connection;
		this.method = request.method().name();
		this.uri = new QueryStringDecoder(request.uri());
		this.headers = request.headers();
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.body = ByteBufUtil.getBytes(request.content());
	}

	/**
	 * Returns the HTTP method.
	 * @return the method, upper case
	 */
	public String method() {
		return this.method;
	}

	/**
	 * Returns the path without the query.
	 * @return the decoded path
	 */
	public String path() {
		return this.uri.path();
	}

	/**
	 * Returns a query parameter as a number; the first value if it occurs repeatedly.
	 * @param name the name of the parameter
	 * @param defaultValue the number to return if the query lacks the parameter
	 * @return the number
	 * @throws StandinException if the value is not an integer
	 */
	public long queryLong(String name, long defaultValue) {
		return this.uri.parameters()
			.getOrDefault(name, List.of())
			.stream()
			.findFirst()
			.map((value) -> parseLong(name, value))
			.orElse(defaultValue);
	}

	/**
	 * Returns the value of a header.
	 * @param name the name of the header
	 * @return the value, or an empty string if the header is missing
	 */
	public String header(String name) {
		return this.headers.get(name, "");
	}

	/**
	 * Returns the value of a header as a number.
	 * @param name the name of the header
	 * @return the number
	 * @throws StandinException if the header is missing or not an integer
	 */
	public long headerLong(String name) {
		return parseLong(name, header(name));
	}

	/**
	 * Returns the body of the request.
	 * @return the bytes, empty if there is no body
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Passes the request to a handler. If the handler throws an exception, responds with
	 * the error code of the exception, or with {@link ErrorCode#INTERNAL} if it has none.
	 * @param handler the handler
	 */
	public void serve(HttpHandler handler) {
		try {
			handler.handle(this);
		}
		catch (MasticwickException ex) {
			respond(errorResponse(ex.errorCode(), ex.getMessage()));
		}
		catch (RuntimeException ex) {
			logger.warn("Handling the request {} {} failed; responding with an internal error", this.method, path(),
					ex);
			respond(errorResponse(ErrorCode.INTERNAL, ex.toString()));
		}
	}

	/**
	 * Responds to the request, unless the exchange is completed.
	 * @param response the response
	 */
	public void respond(HttpResponse response) {
		if (this.completed.compareAndSet(false, true)) {
			this.connection.respond(response, this.keepAlive);
		}
	}

	/**
	 * Closes the connection without a response, unless the exchange is completed.
	 */
	public void abort() {
		if (this.completed.compareAndSet(false, true)) {
			this.connection.abort();
		}
	}

	private static HttpResponse errorResponse(ErrorCode code, String message) {
		return HttpResponse.json(code.httpStatus(), Map.of("code", code.code(), "message", String.valueOf(message)));
	}

	private static long parseLong(String name, String value) {
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, name + " must be an integer: " + value, ex);
		}
	}

}
