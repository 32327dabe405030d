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
 * Finds requests that no route could take.
 */
final class RequestCheck {

	private static final Set<HttpMethod> BODY_METHODS = Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

	private static final String JSON = "application/json";

	private RequestCheck() {
	}

	/**
	 * Checks a request.
	 * @param request the whole request
	 * @return why it is refused, if it is
	 */
	static Optional<Rejection> check(FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			return Optional.of(undecodable(request.decoderResult().cause()));
		}
		if (!request.content().isReadable()) {
			return Optional.empty();
		}
		if (!BODY_METHODS.contains(request.method())) {
			return Optional.of(malformed("A request with the method " + request.method() + " takes no body"));
		}
		return isJson(request.headers().get(HttpHeaderNames.CONTENT_TYPE)) ? Optional.empty()
				: Optional.of(malformed("Content-Type: " + JSON + " is required"));
	}

	private static Rejection undecodable(Throwable cause) {
		if (cause instanceof TooLongFrameException) {
			return new Rejection(ErrorCode.HEADERS_TOO_LARGE, "The request line or the headers are too large", true);
		}
		return new Rejection(ErrorCode.MALFORMED_REQUEST, "The bytes are not a request of HTTP/1.1", true);
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
