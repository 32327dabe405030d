package org.masticwick.core.request.internal;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Creates placement policies by name.
 */
final class PlacementPolicies {

	private static final Map<String, Supplier<PlacementPolicy>> FACTORIES = Stream
		.<Supplier<PlacementPolicy>>of(RandomPlacement::new, RoundRobinPlacement::new, LeastOfTwoPlacement::new,
				LeastOfTwoPeersPlacement::new, SlotSharePlacement::new, OwnerPlacement::new)
		.collect(Collectors.toMap((factory) -> factory.get().name(), Function.identity()));

	private PlacementPolicies() {
	}

	/**
	 * Creates the policy with a name.
	 * @param name the name
	 * @param defaultName the name of the policy to create if no policy has the given name
	 * @return the policy
	 */
	static PlacementPolicy create(String name, String defaultName) {
		return FACTORIES.getOrDefault(name, FACTORIES.get(defaultName)).get();
	}

	/**
	 * Returns the names of all policies.
	 * @return the names, sorted
	 */
	static List<String> names() {
		return FACTORIES.keySet().stream().sorted().toList();
	}

}
