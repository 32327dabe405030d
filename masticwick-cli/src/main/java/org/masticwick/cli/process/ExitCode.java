package org.masticwick.cli.process;

/**
 * The exit codes of {@code masticwick}.
 */
public enum ExitCode {

	/** The command succeeded. */
	OK(0, "success"),

	/**
	 * The job was run and failed, a load run found a violation, or a check has warnings.
	 */
	FAILED(1, "the job was run and failed, a load run found a violation, or a check of a note has warnings"),

	/** The command line is invalid. */
	USAGE(2, "the command line is invalid"),

	/** The request was refused and nothing was run. */
	REFUSED(3, "refused, nothing was run"),

	/** No host responded, or the outcome can't be determined now. */
	UNKNOWN(4, "no response, or the outcome can't be determined now"),

	/** A file can't be read or is invalid. */
	INVALID_FILE(5, "a file can't be read or is invalid"),

	/** The release note was rejected. */
	NOTE_REJECTED(6, "the release note was rejected"),

	/** The job is still running. */
	RUNNING(7, "the job is still running"),

	/** An internal error. */
	INTERNAL(8, "internal error");

	private final int status;

	private final String meaning;

	ExitCode(int status, String meaning) {
		this.status = status;
		this.meaning = meaning;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the description of this code that the help shows.
	 * @return the description
	 */
	public String meaning() {
		return this.meaning;
	}

}
