package org.masticwick.fleet.connection;

import java.util.concurrent.CompletionException;

/**
 * Thrown when an HTTP call gets no usable reply.
 */
public final class CallException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Code code;

	private final int status;

	/**
	 * Creates an exception for a call without a reply.
	 * @param code the kind of failure
	 * @param message the details
	 */
	public CallException(Code code, String message) {
		this(code, 0, message);
	}

	/**
	 * Creates an exception for a reply that reports an error or can't be used.
	 * @param code the kind of failure
	 * @param status the HTTP status of the reply
	 * @param message the details
	 */
	public CallException(Code code, int status, String message) {
		super(message);
		this.code = code;
		this.status = status;
	}

	/**
	 * Returns the cause of a {@link CompletionException}, in which a future wraps the
	 * error that it completed with.
	 * @param error the error passed to a callback of a future
	 * @return the cause if the error is such a wrapper, else the error itself
	 */
	public static Throwable unwrap(Throwable error) {
		return (error instanceof CompletionException) ? error.getCause() : error;
	}

	/**
	 * Returns the error of a call as an exception of this class.
	 * @param error the error passed to a callback of a future
	 * @return the error, or one of the kind {@link Code#MALFORMED} for any other error
	 */
	public static CallException from(Throwable error) {
		Throwable cause = unwrap(error);
		if (cause instanceof CallException call) {
			return call;
		}
		return new CallException(Code.MALFORMED, String.valueOf(cause));
	}

	/**
	 * Returns the kind of failure.
	 * @return the code
	 */
	public Code code() {
		return this.code;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status, or 0 if there was no reply
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Kinds of failure.
	 */
	public enum Code {

		/** Connecting failed before anything was sent, so the call had no effect. */
		NOT_SENT,

		/** No reply arrived in time; the call may have taken effect or may still do. */
		TIMEOUT,

		/** The connection broke; the call may have taken effect or may still do. */
		BROKEN,

		/** The server refused the call, which had no effect. */
		REFUSED,

		/** An append expected another end offset than the topic of the log has. */
		CONFLICT,

		/** The log has accepted a writer with a higher epoch and refuses this one. */
		FENCED,

		/** The requested records of the log have expired. */
		EXPIRED,

		/** The reply can't be parsed. */
		MALFORMED

	}

}
