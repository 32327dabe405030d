package org.masticwick.wire;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Signals that bytes can't be decoded as a message or record, or that one can't be
 * encoded. Its code is {@link ErrorCode#MALFORMED_MESSAGE}.
 */
public class MalformedMessageException extends MasticwickException {

	/**
	 * Creates the exception.
	 * @param message the details for people
	 * @param cause the underlying error, or {@code null}
	 */
	public MalformedMessageException(String message, Throwable cause) {
		super(ErrorCode.MALFORMED_MESSAGE, message, cause);
	}

}
