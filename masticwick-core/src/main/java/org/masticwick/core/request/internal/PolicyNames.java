package org.masticwick.core.request.internal;

import java.util.List;
import java.util.Map;

import org.masticwick.core.request.DispatchRules;
import org.masticwick.core.version.Rules;

/**
 * The names of the policies that the rules of a release note select. A rule with another
 * value gets its default.
 */
public final class PolicyNames {

	private PolicyNames() {
	}

	/**
	 * Returns the names of the policies.
	 * @return the names, sorted, by name of the rule
	 */
	public static Map<String, List<String>> byRule() {
		return Map.of(Rules.PLACEMENT, PlacementPolicies.names(), DispatchRules.JOB_ORDER, JobOrder.NAMES,
				DispatchRules.TEAM_ORDER, TeamOrder.NAMES);
	}

}
