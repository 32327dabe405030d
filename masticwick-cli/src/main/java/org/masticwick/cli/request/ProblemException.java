package org.masticwick.cli.request;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that a host answered a request that is not about a job with a problem.
 */
public class ProblemException extends MasticwickException {

	private final transient Problem problem;

	/**
	 * Creates an error from a problem.
	 * @param problem the problem
	 */
	public ProblemException(Problem problem) {
		super(ErrorCode.PEER_UNAVAILABLE, problem.code() + ": " + problem.detail());
		this.problem = problem;
	}

	/**
	 * Returns what the host answered.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}
