package org.masticwick.core.process;

import java.util.Objects;

/**
 * Base of all errors of the product, each with a code.
 */
public class MasticwickException extends RuntimeException {

	private final ErrorCode errorCode;

	/**
	 * Creates an error without a cause.
	 * @param errorCode what went wrong
	 * @param message the details for people
	 */
	public MasticwickException(ErrorCode errorCode, String message) {
		this(errorCode, message, null);
	}

	/**
	 * Creates an error that turns one from the layer below.
	 * @param errorCode what went wrong
	 * @param message the details for people
	 * @param cause the error from below, or {@code null}
	 */
	public MasticwickException(ErrorCode errorCode, String message, Throwable cause) {
		super(message, cause);
		this.errorCode = Objects.requireNonNull(errorCode, "errorCode");
	}

	/**
	 * Returns what went wrong.
	 * @return the code
	 */
	public ErrorCode errorCode() {
		return this.errorCode;
	}

}
