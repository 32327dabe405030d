package org.masticwick.platform;

import java.time.Duration;

/**
 * Bounds the calls of {@link HttpPlatformClient}.
 *
 * @param connectTimeout how long to wait for a connection
 * @param callTimeout how long to wait for an answer, besides the wait asked for
 * @param maxBodyBytes how long an answer may be, in bytes
 */
public record HttpPlatformSettings(Duration connectTimeout, Duration callTimeout, long maxBodyBytes) {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

	private static final long MAX_BODY_BYTES = 64 * 1_048_576L;

	/** The bounds unless settings say otherwise. */
	public static final HttpPlatformSettings DEFAULT = new HttpPlatformSettings(CONNECT_TIMEOUT, CALL_TIMEOUT,
			MAX_BODY_BYTES);

}
