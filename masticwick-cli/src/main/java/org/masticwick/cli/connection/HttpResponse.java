package org.masticwick.cli.connection;

import java.nio.charset.StandardCharsets;

/**
 * A completely received HTTP response.
 *
 * @param status the HTTP status code
 * @param retryAfterMillis the delay from the {@code Retry-After} header, in milliseconds;
 * 0 if the header is missing or is not a number of seconds
 * @param body the body
 */
public record HttpResponse(int status, long retryAfterMillis, byte[] body) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECTION = 300;

	/**
	 * Returns whether the status code indicates success.
	 * @return {@code true} for 200 to 299
	 */
	public boolean successful() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECTION;
	}

	/**
	 * Decodes the body as UTF-8.
	 * @return the text
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
