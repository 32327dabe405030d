package org.masticwick.core.version;

import java.util.Collections;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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

	/**
	 * Lists the drained failure domains, separated by commas. No task is started on the
	 * endpoints of a drained domain.
	 */
	public static final String DRAINED_DOMAINS = "dispatch/drained-domains";

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

	/**
	 * Returns the names that the rule {@link #DRAINED_DOMAINS} lists. Any value can be
	 * parsed, because hosts of earlier releases accept notes without checking it.
	 * @return the names in alphabetical order, unmodifiable; empty if there is no such
	 * rule
	 */
	public SortedSet<String> drainedDomains() {
		return Stream.of(get(DRAINED_DOMAINS, "").split(","))
			.map(String::strip)
			.filter((domain) -> !domain.isEmpty())
			.collect(Collectors.collectingAndThen(Collectors.toCollection(TreeSet::new),
					Collections::unmodifiableSortedSet));
	}

}
