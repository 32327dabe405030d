package org.masticwick.fleet.version;

import java.util.Set;
import java.util.TreeSet;

/**
 * The drained failure domains as of an offset of the operators' topic: no new tasks start
 * on their endpoints. It is a function of the records before that offset, so that of two
 * sets the one with the higher offset is newer, whoever read it.
 *
 * @param offset the offset of the first record of the topic that was not considered
 * @param domains the names of the drained domains
 */
public record DrainedDomains(long offset, Set<String> domains) {

	/**
	 * Copies the set, so that the record is immutable.
	 */
	public DrainedDomains {
		domains = Set.copyOf(domains);
	}

	/**
	 * Returns whether a failure domain is drained.
	 * @param domain the name of the domain
	 * @return whether no new tasks may start on its endpoints
	 */
	public boolean contains(String domain) {
		return this.domains.contains(domain);
	}

	/**
	 * Returns the drained domains in a fixed order.
	 * @return the names of the domains
	 */
	public Set<String> sortedDomains() {
		return new TreeSet<>(this.domains);
	}

}
