package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.process.EntryHost;

/**
 * Estimates how many slots of one endpoint are taken by other entry hosts. The count that
 * a peer reported holds at once and fades towards its mean as it ages. What the endpoint
 * itself told fades too, and what a peer reports later replaces its part of that.
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
	 * Takes in the count of a peer.
	 * @param peer the peer
	 * @param count how many tasks it has on the endpoint
	 * @param nowNanos the time
	 * @param decayNanos the time in which a count is out of date, in nanoseconds
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
	 * Forgets a peer.
	 * @param peer the peer
	 * @param decayNanos the time in which a count is out of date, in nanoseconds
	 */
	void removePeer(EntryHost peer, double decayNanos) {
		if (this.counts.remove(peer) != null) {
			updateSums(this.sumsUpdatedNanos, decayNanos);
		}
	}

	/**
	 * Takes in what the endpoint itself told.
	 * @param peerTaskCount how many slots others have taken
	 * @param nowNanos the time
	 * @param decayNanos the time in which a count is out of date, in nanoseconds
	 */
	void recordObservation(int peerTaskCount, long nowNanos, double decayNanos) {
		this.unreportedCount = peerTaskCount - reportedTotal(nowNanos, decayNanos);
		this.observedNanos = nowNanos;
	}

	/**
	 * Returns the estimate.
	 * @param nowNanos the time
	 * @param decayNanos the time in which a count is out of date, in nanoseconds
	 * @return how many slots others have taken
	 */
	double estimateTotal(long nowNanos, double decayNanos) {
		double estimate = reportedTotal(nowNanos, decayNanos);
		if (this.unreportedCount != 0) {
			estimate += this.unreportedCount * TimeMath.decayFactor(nowNanos - this.observedNanos, decayNanos);
		}
		return Math.max(0, estimate);
	}

	/**
	 * Returns the estimate for one peer.
	 * @param peer the peer
	 * @param nowNanos the time
	 * @param decayNanos the time in which a count is out of date, in nanoseconds
	 * @return how many slots it has taken
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
	 * Is what one peer reported.
	 *
	 * @param count the last count
	 * @param mean the mean of its counts
	 * @param receivedNanos when the last count came
	 */
	private record PeerCount(int count, double mean, long receivedNanos) {

		double deviation(long nowNanos, double decayNanos) {
			return (this.count - this.mean) * TimeMath.decayFactor(nowNanos - this.receivedNanos, decayNanos);
		}

	}

}
