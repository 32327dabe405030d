package org.masticwick.cli.process;

/**
 * Names the exit codes of the command.
 */
public enum ExitCode {

	/** The command did what was asked. */
	OK(0, "done"),

	/** The job was run and failed, or a load run broke a promise. */
	FAILED(1, "the job was run and failed, or a load run broke a promise"),

	/** The command line is wrong. */
	USAGE(2, "the command line is wrong"),

	/** The request was refused and was not run. */
	REFUSED(3, "refused, not run"),

	/** No host answers, or the outcome can't be known now. */
	UNKNOWN(4, "no answer, or the outcome can't be known now"),

	/** A file can't be read or is wrong. */
	INVALID_FILE(5, "a file can't be read or is wrong"),

	/** The release note was rejected. */
	NOTE_REJECTED(6, "the release note was rejected"),

	/** The job still runs. */
	RUNNING(7, "the job still runs"),

	/** A fault of the program. */
	INTERNAL(8, "a fault of the program");

	private final int status;

	private final String meaning;

	ExitCode(int status, String meaning) {
		this.status = status;
		this.meaning = meaning;
	}

	/**
	 * Returns the status of the process.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns what the code means.
	 * @return the text for help
	 */
	public String meaning() {
		return this.meaning;
	}

}
