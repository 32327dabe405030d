package org.masticwick.core.process;

/**
 * Identifies each error that a caller or an operator can meet.
 */
public enum ErrorCode {

	/** The request could not be read. */
	MALFORMED_REQUEST("malformed-request", 400, RunState.NOT_RUN, false),

	/** The request has a field that is missing or out of bounds. */
	INVALID_REQUEST("invalid-request", 422, RunState.NOT_RUN, false),

	/** The request or one of its parts is larger than the settings allow. */
	REQUEST_TOO_LARGE("request-too-large", 413, RunState.NOT_RUN, false),

	/** The request line or the headers are larger than the settings allow. */
	HEADERS_TOO_LARGE("headers-too-large", 431, RunState.NOT_RUN, false),

	/** The request came too slowly. */
	REQUEST_TIMEOUT("request-timeout", 408, RunState.NOT_RUN, true),

	/** There is no such path. */
	NOT_FOUND("not-found", 404, RunState.NOT_APPLICABLE, false),

	/** The path does not take this method. */
	METHOD_NOT_ALLOWED("method-not-allowed", 405, RunState.NOT_APPLICABLE, false),

	/** The text is not a ticket, or its integrity check fails. */
	INVALID_TICKET("invalid-ticket", 400, RunState.NOT_RUN, false),

	/** The ticket has not been submitted; a submission may still be on its way. */
	TICKET_UNUSED("ticket-unused", 404, RunState.NOT_APPLICABLE, false),

	/** The ticket was submitted with another body. */
	TICKET_REUSED("ticket-reused", 409, RunState.NOT_RUN, false),

	/** The ticket has expired, and what became of its job is forgotten. */
	OUTCOME_FORGOTTEN("outcome-forgotten", 410, RunState.UNKNOWN, false),

	/** Neither the home of the ticket nor a host that could collect is reachable. */
	OUTCOME_UNKNOWN("outcome-unknown", 504, RunState.UNKNOWN, true),

	/** The service is not in the version in force. */
	UNKNOWN_SERVICE("unknown-service", 422, RunState.NOT_RUN, false),

	/** No endpoint could ever run the job. */
	NEVER_FITS("never-fits", 422, RunState.NOT_RUN, false),

	/** The queue is full. */
	OVERLOADED("overloaded", 503, RunState.NOT_RUN, true),

	/** The job would end after its deadline. */
	DEADLINE_UNREACHABLE("deadline-unreachable", 503, RunState.NOT_RUN, true),

	/** The deadline passed before any task was started. */
	DEADLINE_PASSED("deadline-passed", 503, RunState.NOT_RUN, true),

	/** The team has used up its share. */
	QUOTA_EXCEEDED("quota-exceeded", 429, RunState.NOT_RUN, true),

	/** The host is stopping. */
	DRAINING("draining", 503, RunState.NOT_RUN, true),

	/** The host has no version of the site yet. */
	NO_VERSION("no-version", 503, RunState.NOT_RUN, true),

	/** The service has no endpoint that takes work now. */
	NO_ENDPOINT("no-endpoint", 503, RunState.NOT_RUN, true),

	/** The job was cancelled before any task was started. */
	CANCELLED_NOT_RUN("cancelled", 409, RunState.NOT_RUN, false),

	/** The job was cancelled after a task was started. */
	CANCELLED("cancelled-after-start", 502, RunState.RAN, false),

	/** A task of the job failed, or what became of it can't be known. */
	JOB_FAILED("job-failed", 502, RunState.RAN, false),

	/** The home of the ticket was lost before every task had been started. */
	HOME_LOST("home-lost", 502, RunState.UNKNOWN, false),

	/** The job was cut off by a stop that passed its deadline. */
	STOPPED("stopped", 502, RunState.RAN, false),

	/** The settings are wrong. */
	INVALID_SETTINGS("invalid-settings", 500, RunState.NOT_APPLICABLE, false),

	/** The release note is wrong. */
	INVALID_NOTE("invalid-note", 422, RunState.NOT_APPLICABLE, false),

	/** The release note conflicts with one accepted since its base. */
	NOTE_CONFLICT("note-conflict", 409, RunState.NOT_APPLICABLE, false),

	/** The platform does not answer. */
	PLATFORM_UNAVAILABLE("platform-unavailable", 503, RunState.NOT_APPLICABLE, true),

	/** The records asked for have expired. */
	RECORDS_EXPIRED("records-expired", 410, RunState.NOT_APPLICABLE, false),

	/** A peer does not answer. */
	PEER_UNAVAILABLE("peer-unavailable", 503, RunState.UNKNOWN, true),

	/** A message between hosts could not be read. */
	MALFORMED_MESSAGE("malformed-message", 400, RunState.NOT_APPLICABLE, false),

	/** An endpoint broke its contract. */
	ENDPOINT_PROTOCOL("endpoint-protocol", 502, RunState.UNKNOWN, false),

	/** The process can't start, since something that it needs is taken. */
	START_FAILED("start-failed", 500, RunState.NOT_APPLICABLE, false),

	/** A fault of the program itself. */
	INTERNAL("internal", 500, RunState.UNKNOWN, false);

	private final String code;

	private final int httpStatus;

	private final RunState runState;

	private final boolean retryable;

	ErrorCode(String code, int httpStatus, RunState runState, boolean retryable) {
		this.code = code;
		this.httpStatus = httpStatus;
		this.runState = runState;
		this.retryable = retryable;
	}

	/**
	 * Returns the code as callers and operators see it.
	 * @return the code, lower case with hyphens
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Returns the HTTP status that goes with the code.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns whether the work was run when this error is told.
	 * @return the state
	 */
	public RunState runState() {
		return this.runState;
	}

	/**
	 * Returns whether coming back later makes sense.
	 * @return {@code true} if it does
	 */
	public boolean retryable() {
		return this.retryable;
	}

}
