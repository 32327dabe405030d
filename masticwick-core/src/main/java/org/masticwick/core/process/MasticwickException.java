package org.masticwick.core.process;

import java.util.Objects;

/**
 * Base class of the exceptions of masticwick, each with an error code.
 */
public class MasticwickException extends RuntimeException {

	private final ErrorCode errorCode;

	/**
	 * Creates an exception without a cause.
	 * @param errorCode the error code
	 * @param message the details, for people
	 */
	public MasticwickException(ErrorCode errorCode, String message) {
		this(errorCode, message, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param errorCode the error code
	 * @param message the details, for people
	 * @param cause the exception of a lower layer that this one translates, or
	 * {@code null}
	 */
	public MasticwickException(ErrorCode errorCode, String message, Throwable cause) {
		super(message, cause);
		this.errorCode = Objects.requireNonNull(errorCode, "errorCode");
	}

	/**
	 * Returns the error code.
	 * @return the code
	 */
	public ErrorCode errorCode() {
		return this.errorCode;
	}

}
