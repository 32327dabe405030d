package org.masticwick.platform;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown when the platform did not respond, reported an error, or sent a response that
 * can't be used.
 */
public class PlatformException extends MasticwickException {

	private final boolean outcomeUnknown;

	/**
	 * Creates an exception.
	 * @param errorCode the kind of failure
	 * @param message the details for operators
	 * @param outcomeUnknown whether the request may have taken effect
	 * @param cause the underlying error, or {@code null}
	 */
	public PlatformException(ErrorCode errorCode, String message, boolean outcomeUnknown, Throwable cause) {
		super(errorCode, message, cause);
		this.outcomeUnknown = outcomeUnknown;
	}

	/**
	 * Returns whether the request may have taken effect although it failed.
	 * @return {@code true} if the outcome is unknown, {@code false} if the request can't
	 * have changed anything
	 */
	public boolean outcomeUnknown() {
		return this.outcomeUnknown;
	}

}
