package review3;

/**
 * Whether a rule held in a run of a case.
 */
enum Verdict {

	/** The rule held. */
	HELD(0),

	/** The rule was broken. The status differs from that of a JVM that fails to start. */
	BROKEN(10),

	/** The case could not run. */
	COULD_NOT_RUN(12);

	private final int exitStatus;

	Verdict(int exitStatus) {
		this.exitStatus = exitStatus;
	}

	int exitStatus() {
		return this.exitStatus;
	}

}
