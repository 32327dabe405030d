package org.masticwick.platform;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that the platform did not answer, or not as agreed.
 */
public class PlatformException extends MasticwickException {

	private final boolean outcomeUnknown;

	/**
	 * Creates an error.
	 * @param errorCode what went wrong
	 * @param message the details for people
	 * @param outcomeUnknown whether the request may have taken effect
	 * @param cause the error from below, or {@code null}
	 */
	public PlatformException(ErrorCode errorCode, String message, boolean outcomeUnknown, Throwable cause) {
		super(errorCode, message, cause);
		this.outcomeUnknown = outcomeUnknown;
	}

	/**
	 * Tells whether the request may have taken effect although it failed.
	 * @return {@code true} if that can't be known
	 */
	public boolean outcomeUnknown() {
		return this.outcomeUnknown;
	}

}
