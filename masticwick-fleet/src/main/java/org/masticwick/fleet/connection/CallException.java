package org.masticwick.fleet.connection;

import java.util.concurrent.CompletionException;

/**
 * Thrown when a call over HTTP has no usable answer.
 */
public final class CallException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Code code;

	private final int status;

	/**
	 * Creates the exception.
	 * @param code what went wrong
	 * @param message the details
	 */
	public CallException(Code code, String message) {
		this(code, 0, message);
	}

	/**
	 * Creates the exception for an answer with an unexpected status.
	 * @param code what went wrong
	 * @param status the HTTP status
	 * @param message the details
	 */
	public CallException(Code code, int status, String message) {
		super(message);
		this.code = code;
		this.status = status;
	}

	/**
	 * Takes off what a future wraps around the error that it ended with.
	 * @param error the error of a future
	 * @return the error behind it
	 */
	public static Throwable unwrap(Throwable error) {
		return (error instanceof CompletionException) ? error.getCause() : error;
	}

	/**
	 * Returns what went wrong.
	 * @return the code
	 */
	public Code code() {
		return this.code;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status, or 0 if there was no answer
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Names what can go wrong.
	 */
	public enum Code {

		/** The connection failed before anything was sent. */
		NOT_SENT,

		/** No answer came in time; the call may have taken effect, or may yet. */
		TIMEOUT,

		/** The connection broke; the call may have taken effect, or may yet. */
		BROKEN,

		/** The other side refused the call, which has had no effect. */
		REFUSED,

		/** The log does not end where the call expected it to. */
		CONFLICT,

		/** A writer with a higher epoch has taken over. */
		FENCED,

		/** The records asked for have expired. */
		EXPIRED,

		/** The answer can't be understood. */
		MALFORMED

	}

}
