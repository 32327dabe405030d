package org.masticwick.core.version;

import java.util.Map;

/**
 * Holds the rules of a version, each a name with a text value, and reads the known ones.
 *
 * @param values the values by rule name
 */
public record Rules(Map<String, String> values) {

	/** How starts are placed; the value is the name of a placement policy. */
	public static final String PLACEMENT = "dispatch/placement";

	/** What weighs more: {@code response-time} or {@code messages}. */
	public static final String WEIGHTING = "dispatch/weighting";

	/** Share of a team; the rule name is this prefix and the name of the team. */
	public static final String TEAM_SHARE_PREFIX = "team-share/";

	/** The rules of a site that has none. */
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
	 * @param defaultValue what to return if the version has no such rule
	 * @return the value
	 */
	public String get(String name, String defaultValue) {
		return this.values.getOrDefault(name, defaultValue);
	}

}
