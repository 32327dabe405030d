package org.masticwick.core.request;

import java.util.Collections;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.masticwick.core.version.Rules;

/**
 * The dispatch rules of a site version in typed form. A rule whose value can't be parsed
 * gets its default.
 *
 * @param weighting the goal that the site optimizes for
 * @param placement the name of the placement policy
 * @param jobOrder the name of the policy that orders the jobs of a team
 * @param teamOrder the name of the policy that orders teams
 * @param spillWaitMillis the expected queue wait above which tasks are started in other
 * failure domains, in milliseconds
 * @param drainedDomains the failure domains on whose endpoints no task is started
 * @param teamShares the fair-share weights of the teams, by team name
 */
public record DispatchRules(Weighting weighting, String placement, String jobOrder, String teamOrder,
		long spillWaitMillis, SortedSet<String> drainedDomains, Map<String, Double> teamShares) {

	/** Rule that orders the jobs of a team: {@code least-work} or {@code arrival}. */
	public static final String JOB_ORDER = "dispatch/job-order";

	/** Rule that orders teams: {@code slot-time} or {@code least-running}. */
	public static final String TEAM_ORDER = "dispatch/team-order";

	/**
	 * Rule that sets the expected queue wait in milliseconds above which tasks are
	 * started in other failure domains.
	 */
	public static final String SPILL_WAIT_MILLIS = "dispatch/spill-wait-ms";

	/**
	 * The account shared by all teams without a configured share, if any team has one.
	 */
	public static final String OTHER_TEAMS = "(other)";

	private static final double DEFAULT_SHARE = 1;

	/**
	 * Creates the rules with immutable copies of the drained domains and the shares.
	 */
	public DispatchRules {
		drainedDomains = Collections.unmodifiableSortedSet(new TreeSet<>(drainedDomains));
		teamShares = Map.copyOf(teamShares);
	}

	/**
	 * Parses the rules of a site version.
	 * @param rules the rules
	 * @return the parsed rules, with defaults for absent and invalid values
	 */
	public static DispatchRules of(Rules rules) {
		Weighting weighting = Weighting.of(rules.get(Rules.WEIGHTING, ""));
		double spillWaitMillis = parseNonNegative(rules.get(SPILL_WAIT_MILLIS, ""), weighting.defaultSpillWaitMillis());
		return new DispatchRules(weighting, rules.get(Rules.PLACEMENT, weighting.defaultPlacement()),
				rules.get(JOB_ORDER, "least-work"), rules.get(TEAM_ORDER, "slot-time"), (long) spillWaitMillis,
				rules.drainedDomains(), teamShares(rules));
	}

	/**
	 * Returns the account that a team's work is charged to. As soon as any share is
	 * configured, all teams without one are charged to a single account, so that a caller
	 * can't gain capacity by inventing team names.
	 * @param team the name of the team
	 * @return the name of the account
	 */
	public String accountOf(String team) {
		boolean own = this.teamShares.isEmpty() || this.teamShares.containsKey(team);
		return own ? team : OTHER_TEAMS;
	}

	/**
	 * Returns the fair-share weight of an account.
	 * @param account the name of the account
	 * @return the weight, above 0
	 */
	public double shareOf(String account) {
		return this.teamShares.getOrDefault(account, DEFAULT_SHARE);
	}

	private static Map<String, Double> teamShares(Rules rules) {
		return rules.values()
			.entrySet()
			.stream()
			.filter((rule) -> rule.getKey().startsWith(Rules.TEAM_SHARE_PREFIX))
			.collect(Collectors.toMap((rule) -> rule.getKey().substring(Rules.TEAM_SHARE_PREFIX.length()),
					(rule) -> Math.max(Double.MIN_NORMAL, parseNonNegative(rule.getValue(), DEFAULT_SHARE))));
	}

	private static double parseNonNegative(String text, double defaultValue) {
		try {
			double value = Double.parseDouble(text);
			return (Double.isFinite(value) && value >= 0) ? value : defaultValue;
		}
		catch (NumberFormatException ex) {
			return defaultValue;
		}
	}

}
