package org.masticwick.core.version;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The types of rules that this release knows, each with the patterns of its names and
 * values. A rule whose name matches no type is not validated, so that hosts of different
 * releases reach the same verdict on a release note.
 */
enum RuleType {

	POLICY(Pattern.compile("dispatch/(placement|job-order|team-order)"), Pattern.compile("[a-z][a-z0-9-]{0,63}"),
			"the name of a policy: lower case letters, digits and hyphens"),

	SPILL_WAIT(Pattern.compile("dispatch/spill-wait-ms"), Pattern.compile("[0-9]{1,15}"),
			"a whole number of milliseconds, 0 or more"),

	WEIGHTING(Pattern.compile(Pattern.quote(Rules.WEIGHTING)), Pattern.compile("response-time|messages"),
			"\"response-time\" or \"messages\""),

	TEAM_SHARE(Pattern.compile(Pattern.quote(Rules.TEAM_SHARE_PREFIX) + ".+"),
			Pattern.compile("(?=.*[1-9])[0-9]{1,9}(\\.[0-9]{1,6})?"), "a number above 0, as in \"2\" or \"0.5\""),

	LIMIT(Pattern.compile("limits/[a-z][a-z0-9-]*"), Pattern.compile("[1-9][0-9]{0,14}"), "a whole number above 0"),

	/**
	 * Acceptance does not validate the value: hosts of earlier releases do not know this
	 * rule, accept any value and must reach the same verdict.
	 */
	DRAINED_DOMAINS(Pattern.compile(Pattern.quote(Rules.DRAINED_DOMAINS)),
			Pattern.compile(Constants.DOMAIN + "( ?, ?" + Constants.DOMAIN + ")*"),
			"names of failure domains separated by commas, as in \"hobart,derwent\"; withdraw the rule to list none") {

		@Override
		boolean validatedOnAcceptance() {
			return false;
		}

	};

	/** The rule names that a note may use, for messages to operators. */
	static final String ALLOWED_NAMES = Rules.PLACEMENT + ", dispatch/job-order, dispatch/team-order, "
			+ Rules.WEIGHTING + ", dispatch/spill-wait-ms, " + Rules.DRAINED_DOMAINS + ", " + Rules.TEAM_SHARE_PREFIX
			+ "<team> or limits/<name>";

	private final Pattern namePattern;

	private final Pattern valuePattern;

	private final String allowedValues;

	RuleType(Pattern namePattern, Pattern valuePattern, String allowedValues) {
		this.namePattern = namePattern;
		this.valuePattern = valuePattern;
		this.allowedValues = allowedValues;
	}

	static Optional<RuleType> find(String name) {
		return Arrays.stream(values()).filter((type) -> type.namePattern.matcher(name).matches()).findFirst();
	}

	boolean allows(String value) {
		return this.valuePattern.matcher(value).matches();
	}

	/**
	 * Returns whether a note with a value that is not allowed is rejected. Otherwise only
	 * the check of an operator's file reports such a value.
	 * @return {@code true} if so
	 */
	boolean validatedOnAcceptance() {
		return true;
	}

	String allowedValues() {
		return this.allowedValues;
	}

	/**
	 * Constants that the enum constants refer to.
	 */
	private static final class Constants {

		private static final String DOMAIN = "[A-Za-z0-9][A-Za-z0-9._~/-]{0,127}";

	}

}
