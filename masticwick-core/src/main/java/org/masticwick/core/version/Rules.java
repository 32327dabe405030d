package org.masticwick.core.version;

import java.util.Map;

/**
 * The rules of a version of the site: settings of dispatch, shares of teams and limits,
 * as text values by rule name.
 *
 * @param values the values by rule name
 */
public record Rules(Map<String, String> values) {

	/**
	 * Selects how tasks are placed on endpoints; the value is the name of a placement
	 * policy.
	 */
	public static final String PLACEMENT = "dispatch/placement";

	/** Selects which cost weighs more: {@code response-time} or {@code messages}. */
	public static final String WEIGHTING = "dispatch/weighting";

	/**
	 * Prefix of the rules that set the share of a team; the name of the team follows it.
	 */
	public static final String TEAM_SHARE_PREFIX = "team-share/";

	/** An empty set of rules. */
	public static final Rules NONE = new Rules(Map.of());

	/**
	 * Copies the values.
	 */
	public Rules {
		values = Map.copyOf(values);
	}

	/**
	 * Returns the value of a rule.
	 * @param name the name of the rule
	 * @param defaultValue the value to return if the version has no such rule
	 * @return the value of the rule, or the default value
	 */
	public String get(String name, String defaultValue) {
		return this.values.getOrDefault(name, defaultValue);
	}

}
