package org.masticwick.daemon.process.settings;

import java.util.List;
import java.util.stream.Collectors;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown if a settings file is invalid; holds all problems found in it.
 */
public class InvalidSettingsException extends MasticwickException {

	private final List<SettingsProblem> problems;

	/**
	 * Creates an error from all problems of a file.
	 * @param problems the problems, at least one
	 */
	public InvalidSettingsException(List<SettingsProblem> problems) {
		super(ErrorCode.INVALID_SETTINGS,
				problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns all problems in the order of the sections.
	 * @return the problems
	 */
	public List<SettingsProblem> problems() {
		return this.problems;
	}

}
