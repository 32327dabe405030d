package org.masticwick.daemon.connection.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.masticwick.core.process.ErrorCode;

/**
 * Is a request that is refused before it reaches a route.
 *
 * @param code the code
 * @param detail the details for people
 * @param lastOfConnection whether the connection can't be read any further
 */
record Rejection(ErrorCode code, String detail, boolean lastOfConnection) {

	private static final String PROBLEM_JSON = "application/problem+json";

	private static final String RETRY_SECONDS = "1";

	FullHttpResponse response(ProblemBodyWriter problem) {
		ByteBuf body = Unpooled.wrappedBuffer(problem.write(this.code, this.detail));
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(this.code.httpStatus()), body);
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, PROBLEM_JSON)
			.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		if (this.code.retryable()) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_SECONDS);
		}
		if (this.lastOfConnection) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		return response;
	}

}
