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
 * Is one request with the way to answer it. It is answered or dropped once; what comes
 * after that is ignored.
 */
public final class HttpExchange {

	private static final Logger logger = LoggerFactory.getLogger(HttpExchange.class);

	private final HttpConnection connection;

	private final String method;

	private final QueryStringDecoder target;

	private final HttpHeaders headers;

	private final boolean keepAlive;

	private final byte[] body;

	private final AtomicBoolean ended = new AtomicBoolean();

	HttpExchange(HttpConnection connection, FullHttpRequest request) {
		this.connection = connection;
		this.method = request.method().name();
		this.target = new QueryStringDecoder(request.uri());
		this.headers = request.headers();
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.body = ByteBufUtil.getBytes(request.content());
	}

	/**
	 * Returns the method.
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
		return this.target.path();
	}

	/**
	 * Returns a number from the query.
	 * @param name the name of the parameter
	 * @param defaultValue what to return if the query lacks it
	 * @return the number
	 * @throws StandinException if the value is not a number
	 */
	public long queryLong(String name, long defaultValue) {
		return this.target.parameters()
			.getOrDefault(name, List.of())
			.stream()
			.findFirst()
			.map((value) -> number(name, value))
			.orElse(defaultValue);
	}

	/**
	 * Returns a header.
	 * @param name the name of the header
	 * @return the value, or an empty text
	 */
	public String header(String name) {
		return this.headers.get(name, "");
	}

	/**
	 * Returns a number from a header.
	 * @param name the name of the header
	 * @return the number
	 * @throws StandinException if the header is missing or not a number
	 */
	public long headerLong(String name) {
		return number(name, header(name));
	}

	/**
	 * Returns the body.
	 * @return the bytes, possibly none
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Lets a handler serve the request, and answers with the error if it throws one.
	 * @param handler the handler
	 */
	public void serve(HttpHandler handler) {
		try {
			handler.handle(this);
		}
		catch (MasticwickException ex) {
			respond(error(ex.errorCode(), ex.getMessage()));
		}
		catch (RuntimeException ex) {
			logger.warn("Request {} {} failed", this.method, path(), ex);
			respond(error(ErrorCode.INTERNAL, ex.toString()));
		}
	}

	/**
	 * Answers the request.
	 * @param answer the answer
	 */
	public void respond(HttpResponse answer) {
		if (this.ended.compareAndSet(false, true)) {
			this.connection.respond(answer, this.keepAlive);
		}
	}

	/**
	 * Closes the connection without an answer.
	 */
	public void abort() {
		if (this.ended.compareAndSet(false, true)) {
			this.connection.abort();
		}
	}

	private static HttpResponse error(ErrorCode code, String message) {
		return HttpResponse.json(code.httpStatus(), Map.of("code", code.code(), "message", String.valueOf(message)));
	}

	private static long number(String name, String value) {
		try {
			return Long.parseLong(value);
		}
		catch (NumberFormatException ex) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, name + " is not a number: " + value, ex);
		}
	}

}
