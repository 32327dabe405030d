package org.masticwick.platform;

import java.time.Duration;

/**
 * The timeouts and limits of the calls of {@link HttpPlatformClient}.
 *
 * @param connectTimeout how long opening a connection may take
 * @param callTimeout how long a call may take, in addition to the wait that it requests
 * @param maxBodyBytes the maximum size of a response body, in bytes
 */
public record HttpPlatformSettings(Duration connectTimeout, Duration callTimeout, long maxBodyBytes) {

	private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final long DEFAULT_MAX_BODY_BYTES = 64 * 1_048_576L;

	/** The default timeouts and limits. */
	public static final HttpPlatformSettings DEFAULT = new HttpPlatformSettings(DEFAULT_CONNECT_TIMEOUT,
			DEFAULT_CALL_TIMEOUT, DEFAULT_MAX_BODY_BYTES);

}
