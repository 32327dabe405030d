package org.masticwick.cli.request;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown when a host responds with an error to a request that is not about a job, such as
 * one for tickets.
 */
public class ProblemException extends MasticwickException {

	private final transient Problem problem;

	/**
	 * Creates an exception.
	 * @param problem the problem
	 */
	public ProblemException(Problem problem) {
		super(ErrorCode.PEER_UNAVAILABLE, problem.code() + ": " + problem.detail());
		this.problem = problem;
	}

	/**
	 * Returns the error that the host reported.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}
