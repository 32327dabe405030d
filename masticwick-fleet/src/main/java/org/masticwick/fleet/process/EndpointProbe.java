package org.masticwick.fleet.process;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.masticwick.core.pool.EndpointEntry;
import org.masticwick.fleet.connection.EndpointCalls;

/**
 * Asks endpoints of a failure domain whether this host reaches them, while it does not
 * own their pool. The calls carry the lowest fencing token, extend no lease and
 * acknowledge nothing, so that they have no effect. Must be called on the event loop.
 */
final class EndpointProbe {

	/** The delay from one round of calls to the next. */
	static final long INTERVAL_MILLIS = 500;

	/** How long an answer shows that a failure domain is reachable. */
	static final long VALIDITY_MILLIS = 1_000;

	/** How many endpoints of a failure domain are asked in a round. */
	static final int ROUND_SIZE = 3;

	private static final long NO_TOKEN = 0;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final EndpointCalls calls;

	private final Map<String, Round> rounds = new HashMap<>();

	EndpointProbe(EndpointCalls calls) {
		this.calls = calls;
	}

	/**
	 * Returns whether an endpoint of a failure domain has answered lately, and asks some
	 * of them again if the last round is old. Rounds take turns among the endpoints.
	 * @param domain the name of the failure domain
	 * @param endpoints the endpoints of the site
	 * @param nowMillis the current monotonic time in milliseconds
	 * @return whether one has answered
	 */
	boolean isReachable(String domain, Collection<EndpointEntry> endpoints, long nowMillis) {
		Round round = this.rounds.computeIfAbsent(domain, (name) -> new Round());
		if (nowMillis - round.sentMillis >= INTERVAL_MILLIS) {
			round.sentMillis = nowMillis;
			ask(round, endpoints.stream().filter((endpoint) -> endpoint.domain().equals(domain)).toList());
		}
		return nowMillis - round.answeredMillis <= VALIDITY_MILLIS;
	}

	private void ask(Round round, List<EndpointEntry> endpoints) {
		for (int number = 0; number < Math.min(ROUND_SIZE, endpoints.size()); number++) {
			EndpointEntry endpoint = endpoints.get(round.askedCount % endpoints.size());
			round.askedCount++;
			long sentMillis = round.sentMillis;
			this.calls.renew(endpoint, NO_TOKEN, 0, OptionalLong.empty(), 0, INTERVAL_MILLIS)
				.thenAccept((report) -> round.answeredMillis = Math.max(round.answeredMillis, sentMillis));
		}
	}

	private static final class Round {

		private int askedCount;

		private long sentMillis = NEVER;

		private long answeredMillis = NEVER;

	}

}
