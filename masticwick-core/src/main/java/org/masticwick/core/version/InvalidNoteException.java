package org.masticwick.core.version;

import java.util.List;
import java.util.stream.Collectors;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown when a release note or a state of the site is invalid; lists every problem.
 */
public class InvalidNoteException extends MasticwickException {

	private final transient List<NoteProblem> problems;

	/**
	 * Creates the error.
	 * @param problems the problems, at least one
	 */
	public InvalidNoteException(List<NoteProblem> problems) {
		super(ErrorCode.INVALID_NOTE,
				problems.stream().map(NoteProblem::toString).collect(Collectors.joining(System.lineSeparator())));
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns every problem.
	 * @return the problems, in the order of the fields of the note
	 */
	public List<NoteProblem> problems() {
		return this.problems;
	}

}
