package org.masticwick.wire;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Signals that bytes are not a message. Its code is {@link ErrorCode#MALFORMED_MESSAGE}.
 */
public class MalformedMessageException extends MasticwickException {

	/**
	 * Creates the error.
	 * @param message the details for people
	 * @param cause the error from below, or {@code null}
	 */
	public MalformedMessageException(String message, Throwable cause) {
		super(ErrorCode.MALFORMED_MESSAGE, message, cause);
	}

}
