package org.masticwick.core.request;

import java.util.Map;
import java.util.stream.Collectors;

import org.masticwick.core.version.Rules;

/**
 * Holds the rules of a version that steer the scheduler, in typed form. A value that
 * can't be read counts as absent.
 *
 * @param weighting what the site weighs more
 * @param placement the name of the placement policy
 * @param jobOrder the name of the order of jobs within a team
 * @param teamOrder the name of the order of teams
 * @param spillWaitMillis the expected wait from which tasks are started in other failure
 * domains, in milliseconds
 * @param teamShares the weights of the teams by name
 */
public record DispatchRules(Weighting weighting, String placement, String jobOrder, String teamOrder,
		long spillWaitMillis, Map<String, Double> teamShares) {

	/** How the jobs of a team are ordered: {@code least-work} or {@code arrival}. */
	public static final String JOB_ORDER = "dispatch/job-order";

	/** How teams are ordered: {@code slot-time} or {@code least-running}. */
	public static final String TEAM_ORDER = "dispatch/team-order";

	/** The expected wait in milliseconds from which tasks go to other failure domains. */
	public static final String SPILL_WAIT_MILLIS = "dispatch/spill-wait-ms";

	/** The account of the teams without a share of their own, where others have one. */
	public static final String OTHER_TEAMS = "(other)";

	private static final double DEFAULT_SHARE = 1;

	/**
	 * Copies the shares.
	 */
	public DispatchRules {
		teamShares = Map.copyOf(teamShares);
	}

	/**
	 * Reads the rules of a version.
	 * @param rules the rules
	 * @return the typed form
	 */
	public static DispatchRules of(Rules rules) {
		Weighting weighting = Weighting.of(rules.get(Rules.WEIGHTING, ""));
		double spillWaitMillis = parseNonNegative(rules.get(SPILL_WAIT_MILLIS, ""), weighting.defaultSpillWaitMillis());
		return new DispatchRules(weighting, rules.get(Rules.PLACEMENT, weighting.defaultPlacement()),
				rules.get(JOB_ORDER, "least-work"), rules.get(TEAM_ORDER, "slot-time"), (long) spillWaitMillis,
				teamShares(rules));
	}

	/**
	 * Returns the account that a team's work counts against. Names that nobody gave a
	 * share have one account together once shares are given, so that inventing names
	 * gains nothing.
	 * @param team the team
	 * @return the name of the account
	 */
	public String accountOf(String team) {
		boolean own = this.teamShares.isEmpty() || this.teamShares.containsKey(team);
		return own ? team : OTHER_TEAMS;
	}

	/**
	 * Returns the weight of an account.
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
