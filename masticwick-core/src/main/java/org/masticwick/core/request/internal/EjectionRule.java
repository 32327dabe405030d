package org.masticwick.core.request.internal;

import java.util.List;
import java.util.function.Supplier;

/**
 * Decides whether an endpoint does so much worse than its peers that it gets no work.
 */
@FunctionalInterface
interface EjectionRule {

	/** Does not connect, several times in a row. */
	EjectionRule UNREACHABLE = (health,
			peers) -> health.consecutiveConnectFailureCount() >= Limits.MIN_CONNECT_FAILURE_COUNT;

	/** Fails much of what it starts, while its peers don't. */
	EjectionRule FAILING = (health, peers) -> {
		if (health.failureCount() < Limits.MIN_FAILURE_COUNT) {
			return false;
		}
		List<EndpointHealth> others = peers.get();
		double peerFailureCount = others.stream().mapToDouble(EndpointHealth::failureCount).sum();
		double peerResultCount = others.stream().mapToDouble(EndpointHealth::resultCount).sum();
		double usual = (peerResultCount < 1) ? 0 : (peerFailureCount / peerResultCount);
		double own = health.failureCount() / health.resultCount();
		return own >= Math.max(Limits.MIN_FAILURE_RATIO, Limits.PEER_FAILURE_FACTOR * usual);
	};

	/** Runs the same kinds of task far slower than its peers. */
	EjectionRule SLOW = (health, peers) -> {
		if (health.slownessSampleCount() < Limits.MIN_SLOWNESS_SAMPLE_COUNT
				|| health.logSlowness() < Limits.MIN_LOG_SLOWNESS) {
			return false;
		}
		double[] others = peers.get()
			.stream()
			.filter((peer) -> peer.slownessSampleCount() >= Limits.MIN_SLOWNESS_SAMPLE_COUNT)
			.mapToDouble(EndpointHealth::logSlowness)
			.sorted()
			.toArray();
		return others.length > 0 && health.logSlowness() - others[others.length / 2] >= Limits.MIN_LOG_SLOWNESS;
	};

	/**
	 * Judges an endpoint.
	 * @param health the results of the endpoint
	 * @param peers gives the results of the other endpoints of its service that get work;
	 * only asked when the endpoint is under suspicion
	 * @return {@code true} if it is unfit
	 */
	boolean shouldEject(EndpointHealth health, Supplier<List<EndpointHealth>> peers);

	/**
	 * Holds the bounds of the rules.
	 */
	final class Limits {

		static final int MIN_CONNECT_FAILURE_COUNT = 2;

		static final double MIN_FAILURE_COUNT = 2.5;

		static final double MIN_FAILURE_RATIO = 0.5;

		static final double PEER_FAILURE_FACTOR = 3;

		static final int MIN_SLOWNESS_SAMPLE_COUNT = 8;

		static final double MIN_LOG_SLOWNESS = Math.log(3);

		private Limits() {
		}

	}

}
