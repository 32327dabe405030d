package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.process.EntryHost;

/**
 * Estimates how many slots of one endpoint are used by other entry hosts. A count
 * reported by a peer is used in full at first and decays towards the mean of that peer's
 * counts as it ages. The difference to a total reported by the endpoint itself decays
 * too, and each later report of a peer replaces that peer's portion of it.
 */
final class PeerLoadEstimate {

	private static final double MEAN_WEIGHT = 0.2;

	private final Map<EntryHost, PeerCount> counts = new HashMap<>();

	private double sumOfMeans;

	private double sumOfDeviations;

	private long sumsUpdatedNanos;

	private double unreportedCount;

	private long observedNanos;

	/**
	 * Records the count reported by a peer.
	 * @param peer the peer
	 * @param count the number of its tasks on the endpoint
	 * @param nowNanos the current time
	 * @param decayNanos the time constant with which counts lose weight, in nanoseconds
	 */
	void recordReport(EntryHost peer, int count, long nowNanos, double decayNanos) {
		PeerCount previous = this.counts.get(peer);
		if (previous == null && count == 0) {
			return;
		}
		double mean = (previous != null) ? (previous.mean() + MEAN_WEIGHT * (count - previous.mean())) : count;
		this.counts.put(peer, new PeerCount(count, mean, nowNanos));
		this.unreportedCount *= 1 - 1.0 / this.counts.size();
		updateSums(nowNanos, decayNanos);
	}

	/**
	 * Removes the counts of a peer.
	 * @param peer the peer
	 * @param decayNanos the time constant with which counts lose weight, in nanoseconds
	 */
	void removePeer(EntryHost peer, double decayNanos) {
		if (this.counts.remove(peer) != null) {
			updateSums(this.sumsUpdatedNanos, decayNanos);
		}
	}

	/**
	 * Records the number of tasks of peers as derived from an answer of the endpoint
	 * itself.
	 * @param peerTaskCount the number of slots that peers use
	 * @param nowNanos the current time
	 * @param decayNanos the time constant with which counts lose weight, in nanoseconds
	 */
	void recordObservation(int peerTaskCount, long nowNanos, double decayNanos) {
		this.unreportedCount = peerTaskCount - reportedTotal(nowNanos, decayNanos);
		this.observedNanos = nowNanos;
	}

	/**
	 * Returns the estimated number of slots that all peers use.
	 * @param nowNanos the current time
	 * @param decayNanos the time constant with which counts lose weight, in nanoseconds
	 * @return the number of slots, at least 0
	 */
	double estimateTotal(long nowNanos, double decayNanos) {
		double estimate = reportedTotal(nowNanos, decayNanos);
		if (this.unreportedCount != 0) {
			estimate += this.unreportedCount * TimeMath.decayFactor(nowNanos - this.observedNanos, decayNanos);
		}
		return Math.max(0, estimate);
	}

	/**
	 * Returns the estimated number of slots that one peer uses.
	 * @param peer the peer
	 * @param nowNanos the current time
	 * @param decayNanos the time constant with which counts lose weight, in nanoseconds
	 * @return the number of slots; 0 if the peer reported none
	 */
	double estimateForPeer(EntryHost peer, long nowNanos, double decayNanos) {
		PeerCount count = this.counts.get(peer);
		return (count != null) ? (count.mean() + count.deviation(nowNanos, decayNanos)) : 0;
	}

	private double reportedTotal(long nowNanos, double decayNanos) {
		if (this.sumOfDeviations == 0) {
			return this.sumOfMeans;
		}
		return this.sumOfMeans
				+ this.sumOfDeviations * TimeMath.decayFactor(nowNanos - this.sumsUpdatedNanos, decayNanos);
	}

	private void updateSums(long nowNanos, double decayNanos) {
		this.sumOfMeans = this.counts.values().stream().mapToDouble(PeerCount::mean).sum();
		this.sumOfDeviations = this.counts.values()
			.stream()
			.mapToDouble((count) -> count.deviation(nowNanos, decayNanos))
			.sum();
		this.sumsUpdatedNanos = nowNanos;
	}

	/**
	 * The counts reported by one peer.
	 *
	 * @param count the last count
	 * @param mean the exponentially weighted mean of its counts
	 * @param receivedNanos the time at which the last count was received, in nanoseconds
	 * of the monotonic clock
	 */
	private record PeerCount(int count, double mean, long receivedNanos) {

		double deviation(long nowNanos, double decayNanos) {
			return (this.count - this.mean) * TimeMath.decayFactor(nowNanos - this.receivedNanos, decayNanos);
		}

	}

}
