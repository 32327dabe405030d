package org.masticwick.core.version;

import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Immutable services, capacities and rules of the site after an accepted release note.
 * Code that handles a request reads the active version once, so that a whole request sees
 * one version.
 *
 * @param number the version number, which increases with each accepted note
 * @param services the services by name
 * @param endpoints the capacities by endpoint address
 * @param rules the rules
 */
public record SiteVersion(long number, Map<String, ServiceSpec> services, Map<HostAddress, EndpointSpec> endpoints,
		Rules rules) {

	/** The version before any accepted note. */
	public static final SiteVersion EMPTY = new SiteVersion(0, Map.of(), Map.of(), Rules.NONE);

	/**
	 * Copies the maps.
	 */
	public SiteVersion {
		services = Map.copyOf(services);
		endpoints = Map.copyOf(endpoints);
	}

}
