package org.masticwick.core.version;

import java.util.Map;

import org.masticwick.core.process.HostAddress;

/**
 * Is the immutable state of the site after an accepted release note. A request reads it
 * once.
 *
 * @param number the version, which counts accepted notes
 * @param services the services by name
 * @param endpoints the capacities by address
 * @param rules the rules
 */
public record SiteVersion(long number, Map<String, ServiceSpec> services, Map<HostAddress, EndpointSpec> endpoints,
		Rules rules) {

	/** The version before any note. */
	public static final SiteVersion EMPTY = new SiteVersion(0, Map.of(), Map.of(), Rules.NONE);

	/**
	 * Copies the maps.
	 */
	public SiteVersion {
		services = Map.copyOf(services);
		endpoints = Map.copyOf(endpoints);
	}

}
