package org.masticwick.core.request.internal;

import java.util.List;
import java.util.function.Supplier;

/**
 * Decides whether the results of an endpoint are so much worse than those of its peers
 * that it is ejected.
 */
@FunctionalInterface
interface EjectionRule {

	/** Several consecutive starts on the endpoint could not connect. */
	EjectionRule UNREACHABLE = (health,
			peers) -> health.consecutiveConnectFailureCount() >= Limits.MIN_CONNECT_FAILURE_COUNT;

	/**
	 * A large part of the tasks started on the endpoint fail, and far more than on its
	 * peers.
	 */
	EjectionRule FAILING = (health, peers) -> {
		if (health.failureCount() < Limits.MIN_FAILURE_COUNT) {
			return false;
		}
		List<EndpointHealth> peerHealth = peers.get();
		double peerFailureCount = peerHealth.stream().mapToDouble(EndpointHealth::failureCount).sum();
		double peerResultCount = peerHealth.stream().mapToDouble(EndpointHealth::resultCount).sum();
		double peerFailureRatio = (peerResultCount < 1) ? 0 : (peerFailureCount / peerResultCount);
		double failureRatio = health.failureCount() / health.resultCount();
		return failureRatio >= Math.max(Limits.MIN_FAILURE_RATIO, Limits.PEER_FAILURE_FACTOR * peerFailureRatio);
	};

	/**
	 * The endpoint runs the same kinds of task far slower than the median of its peers.
	 */
	EjectionRule SLOW = (health, peers) -> {
		if (health.slownessSampleCount() < Limits.MIN_SLOWNESS_SAMPLE_COUNT
				|| health.logSlowness() < Limits.MIN_LOG_SLOWNESS) {
			return false;
		}
		double[] peerLogSlowness = peers.get()
			.stream()
			.filter((peer) -> peer.slownessSampleCount() >= Limits.MIN_SLOWNESS_SAMPLE_COUNT)
			.mapToDouble(EndpointHealth::logSlowness)
			.sorted()
			.toArray();
		return peerLogSlowness.length > 0
				&& health.logSlowness() - peerLogSlowness[peerLogSlowness.length / 2] >= Limits.MIN_LOG_SLOWNESS;
	};

	/**
	 * Returns whether an endpoint should be ejected.
	 * @param health the recent results of the endpoint
	 * @param peers supplies the recent results of the service's other endpoints that are
	 * not ejected; only called if the endpoint's own results exceed a limit
	 * @return {@code true} if the endpoint should be ejected
	 */
	boolean shouldEject(EndpointHealth health, Supplier<List<EndpointHealth>> peers);

	/**
	 * The limits of the rules.
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
