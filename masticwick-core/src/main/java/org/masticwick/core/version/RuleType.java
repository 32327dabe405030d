package org.masticwick.core.version;

import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks names and values of rules. A rule whose name is not known passes here, so that
 * hosts of different releases reach the same verdict.
 */
enum KnownRules {

	POLICY(Pattern.compile("dispatch/(placement|job-order|team-order)"), Pattern.compile("[a-z][a-z0-9-]{0,63}"),
			"the name of a policy: lower case letters, digits and hyphens"),

	SPILL_WAIT(Pattern.compile("dispatch/spill-wait-ms"), Pattern.compile("[0-9]{1,15}"),
			"a whole number of milliseconds, 0 or more"),

	WEIGHTING(Pattern.compile(Pattern.quote(Rules.WEIGHTING)), Pattern.compile("response-time|messages"),
			"\"response-time\" or \"messages\""),

	TEAM_SHARE(Pattern.compile(Pattern.quote(Rules.TEAM_SHARE_PREFIX) + ".+"),
			Pattern.compile("(?=.*[1-9])[0-9]{1,9}(\\.[0-9]{1,6})?"), "a number above 0, as in \"2\" or \"0.5\""),

	LIMIT(Pattern.compile("limits/[a-z][a-z0-9-]*"), Pattern.compile("[1-9][0-9]{0,14}"), "a whole number above 0");

	/** What rule names a note may use, for people. */
	static final String ALLOWED_NAMES = Rules.PLACEMENT + ", dispatch/job-order, dispatch/team-order, "
			+ Rules.WEIGHTING + ", dispatch/spill-wait-ms, " + Rules.TEAM_SHARE_PREFIX + "<team> or limits/<name>";

	private final Pattern names;

	private final Pattern values;

	private final String allowedValues;

	KnownRules(Pattern names, Pattern values, String allowedValues) {
		this.names = names;
		this.values = values;
		this.allowedValues = allowedValues;
	}

	static Optional<KnownRules> find(String name) {
		return Arrays.stream(values()).filter((rule) -> rule.names.matcher(name).matches()).findFirst();
	}

	boolean allows(String value) {
		return this.values.matcher(value).matches();
	}

	String allowedValues() {
		return this.allowedValues;
	}

}
