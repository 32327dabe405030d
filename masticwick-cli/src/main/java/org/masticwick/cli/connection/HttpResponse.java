package org.masticwick.cli.connection;

import java.nio.charset.StandardCharsets;

/**
 * Holds a whole HTTP answer.
 *
 * @param status the status
 * @param retryAfterMillis when to come back, in milliseconds; 0 if not told
 * @param body the body
 */
public record HttpResponse(int status, long retryAfterMillis, byte[] body) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECTION = 300;

	/**
	 * Tells whether the status is one of success.
	 * @return {@code true} for 200 to 299
	 */
	public boolean successful() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECTION;
	}

	/**
	 * Returns the body as text.
	 * @return the text
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

}
