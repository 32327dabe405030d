package org.masticwick.core.version;

import java.util.List;
import java.util.stream.Collectors;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells everything that is wrong with a release note.
 */
public class InvalidNoteException extends MasticwickException {

	private final transient List<NoteProblem> problems;

	/**
	 * Creates the error.
	 * @param problems what is wrong, at least one
	 */
	public InvalidNoteException(List<NoteProblem> problems) {
		super(ErrorCode.INVALID_NOTE,
				problems.stream().map(NoteProblem::toString).collect(Collectors.joining(System.lineSeparator())));
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns what is wrong.
	 * @return the problems, in the order of the note
	 */
	public List<NoteProblem> problems() {
		return this.problems;
	}

}
