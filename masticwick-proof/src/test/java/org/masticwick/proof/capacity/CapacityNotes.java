package org.masticwick.proof.capacity;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.Rules;
import org.masticwick.core.version.ServiceSpec;
import org.masticwick.proof.support.SiteNote;

/**
 * Builds the release notes that bring a site to the measured size. No process listens at
 * the addresses of the endpoints; they belong to a separate service.
 */
final class CapacityNotes {

	private static final String SERVICE = "listed-only";

	private static final long MAX_RUN_MILLIS = 30_000;

	private static final int PORT = 8_080;

	private static final int ENDPOINTS_PER_SUBNET = 200;

	private static final int RACK_SIZE = 8;

	private static final int MIN_RULE_BYTES = 48;

	private CapacityNotes() {
	}

	/**
	 * Returns the address of an endpoint that has no process.
	 * @param index the index of the endpoint
	 * @return the address
	 */
	static HostAddress endpoint(int index) {
		return new HostAddress("10.77." + index / ENDPOINTS_PER_SUBNET + "." + (1 + index % ENDPOINTS_PER_SUBNET),
				PORT);
	}

	/**
	 * Returns the release note with all endpoints and the shares of all teams.
	 * @param options the size of the site
	 * @param domains the failure domains
	 * @return the release note
	 */
	static SiteNote siteSizeNote(CapacityOptions options, List<String> domains) {
		SiteNote note = new SiteNote("size", 1);
		note.add(new ServiceSpec(SERVICE, Set.of(), true, MAX_RUN_MILLIS));
		IntStream.range(0, options.endpointCount())
			.forEach((index) -> note.add(new EndpointSpec(endpoint(index), domains.get(index % domains.size()),
					"rack-" + index / RACK_SIZE, SERVICE, 8, 64, 64, 131_072, 1)));
		IntStream.range(0, options.teamCount())
			.forEach((index) -> note.addRule(Rules.TEAM_SHARE_PREFIX + "team-number-" + index, "1.5"));
		return note;
	}

	/**
	 * Returns a release note of a minimum length that only adds rules.
	 * @param id the id of the release note
	 * @param base the version number that its changes are based on
	 * @param minBytes the minimum length in bytes
	 * @return the release note
	 */
	static SiteNote noteOfLength(String id, long base, int minBytes) {
		SiteNote note = new SiteNote(id, base);
		int count = 1 + minBytes / MIN_RULE_BYTES;
		IntStream.range(0, count).forEach((index) -> note.addRule("limits/" + id + "-" + index, "1"));
		return note;
	}

}
