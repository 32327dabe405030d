package org.masticwick.core.version;

import java.util.Set;

/**
 * Describes a service: the kinds of task that it runs and the capabilities of its
 * endpoints.
 *
 * @param name the name of the service
 * @param kinds the kinds of task that it runs; empty if it runs any kind
 * @param lookup whether its endpoints support status lookups by task id
 * @param maxRunTimeMillis the maximum run time of a task, in milliseconds
 */
public record ServiceSpec(String name, Set<String> kinds, boolean lookup, long maxRunTimeMillis) {

	/**
	 * Copies the kinds.
	 */
	public ServiceSpec {
		kinds = Set.copyOf(kinds);
	}

}
