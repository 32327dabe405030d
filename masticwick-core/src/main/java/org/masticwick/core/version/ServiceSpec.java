package org.masticwick.core.version;

import java.util.Set;

/**
 * Describes a service: the kinds of task it runs and what its endpoints can do.
 *
 * @param name the name of the service
 * @param kinds the kinds of task it runs; empty for any kind
 * @param lookup whether its endpoints answer look-ups by task id
 * @param maxRunTimeMillis how long a task may run at most, in milliseconds
 */
public record ServiceSpec(String name, Set<String> kinds, boolean lookup, long maxRunTimeMillis) {

	/**
	 * Copies the kinds.
	 */
	public ServiceSpec {
		kinds = Set.copyOf(kinds);
	}

}
