package org.masticwick.daemon.connection.http;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;

import org.masticwick.core.process.ErrorCode;

/**
 * Rejects requests that are invalid on every route.
 */
final class RequestCheck {

	private static final Set<HttpMethod> BODY_METHODS = Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

	private static final String JSON = "application/json";

	private RequestCheck() {
	}

	/**
	 * Checks that a request could be decoded, and that its body, if any, is JSON and
	 * allowed by its method. A body without a Content-Type counts as JSON.
	 * @param request the request with its complete body
	 * @return the rejection; empty if the request is valid
	 */
	static Optional<Rejection> check(FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			return Optional.of(undecodable(request.decoderResult().cause()));
		}
		if (!request.content().isReadable()) {
			return Optional.empty();
		}
		if (!BODY_METHODS.contains(request.method())) {
			return Optional.of(malformed("A request with the method " + request.method() + " must not have a body"));
		}
		return isJson(request.headers().get(HttpHeaderNames.CONTENT_TYPE)) ? Optional.empty()
				: Optional.of(malformed("Content-Type: " + JSON + " is required"));
	}

	private static Rejection undecodable(Throwable cause) {
		if (cause instanceof TooLongFrameException) {
			return new Rejection(ErrorCode.HEADERS_TOO_LARGE, "The request line or the headers are too large", true);
		}
		return new Rejection(ErrorCode.MALFORMED_REQUEST, "The bytes received are not a valid HTTP/1.1 request", true);
	}

	private static Rejection malformed(String detail) {
		return new Rejection(ErrorCode.MALFORMED_REQUEST, detail, false);
	}

	private static boolean isJson(String contentType) {
		if (contentType == null) {
			return true;
		}
		String mediaType = contentType.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
		return mediaType.equals(JSON);
	}

}
