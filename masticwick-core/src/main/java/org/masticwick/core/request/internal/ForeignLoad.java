package org.masticwick.core.request.internal;

import java.util.HashMap;
import java.util.Map;

import org.masticwick.core.process.EntryHost;

/**
 * Estimates how many slots of one endpoint are taken by other entry hosts. The count that
 * a peer reported holds at once and fades towards its mean as it ages; what a refusal
 * showed on top fades to nothing.
 */
final class ForeignLoad {

	private static final double MEAN_WEIGHT = 0.2;

	private final Map<EntryHost, PeerCount> counts = new HashMap<>();

	private double meanSum;

	private double deviationSum;

	private long sumNanos;

	private double surplus;

	private long surplusNanos;

	/**
	 * Takes in the count of a peer.
	 * @param peer the peer
	 * @param count how many tasks it has on the endpoint
	 * @param nowNanos the time
	 * @param fadeNanos the time in which a count is out of date, in nanoseconds
	 */
	void report(EntryHost peer, int count, long nowNanos, double fadeNanos) {
		PeerCount known = this.counts.get(peer);
		if (known == null && count == 0) {
			return;
		}
		double mean = (known != null) ? (known.mean() + MEAN_WEIGHT * (count - known.mean())) : count;
		this.counts.put(peer, new PeerCount(count, mean, nowNanos));
		sum(nowNanos, fadeNanos);
	}

	/**
	 * Forgets a peer.
	 * @param peer the peer
	 * @param fadeNanos the time in which a count is out of date, in nanoseconds
	 */
	void forget(EntryHost peer, double fadeNanos) {
		if (this.counts.remove(peer) != null) {
			sum(this.sumNanos, fadeNanos);
		}
	}

	/**
	 * Takes in that the endpoint refused a task since all slots were taken.
	 * @param foreignCount how many slots others must have taken
	 * @param nowNanos the time
	 * @param fadeNanos the time in which a count is out of date, in nanoseconds
	 */
	void full(int foreignCount, long nowNanos, double fadeNanos) {
		double missing = foreignCount - estimate(nowNanos, fadeNanos);
		double left = this.surplus * Times.decay(nowNanos - this.surplusNanos, fadeNanos);
		this.surplus = left + Math.max(0, missing);
		this.surplusNanos = nowNanos;
	}

	/**
	 * Returns the estimate.
	 * @param nowNanos the time
	 * @param fadeNanos the time in which a count is out of date, in nanoseconds
	 * @return how many slots others have taken
	 */
	double estimate(long nowNanos, double fadeNanos) {
		double reported = this.meanSum;
		if (this.deviationSum != 0) {
			reported += this.deviationSum * Times.decay(nowNanos - this.sumNanos, fadeNanos);
		}
		if (this.surplus > 0) {
			reported += this.surplus * Times.decay(nowNanos - this.surplusNanos, fadeNanos);
		}
		return Math.max(0, reported);
	}

	/**
	 * Returns the estimate for one peer.
	 * @param peer the peer
	 * @param nowNanos the time
	 * @param fadeNanos the time in which a count is out of date, in nanoseconds
	 * @return how many slots it has taken
	 */
	double estimate(EntryHost peer, long nowNanos, double fadeNanos) {
		PeerCount count = this.counts.get(peer);
		return (count != null) ? (count.mean() + count.deviation(nowNanos, fadeNanos)) : 0;
	}

	private void sum(long nowNanos, double fadeNanos) {
		this.meanSum = this.counts.values().stream().mapToDouble(PeerCount::mean).sum();
		this.deviationSum = this.counts.values()
			.stream()
			.mapToDouble((count) -> count.deviation(nowNanos, fadeNanos))
			.sum();
		this.sumNanos = nowNanos;
	}

	/**
	 * Is what one peer reported.
	 *
	 * @param count the last count
	 * @param mean the mean of its counts
	 * @param atNanos when the last count came
	 */
	private record PeerCount(int count, double mean, long atNanos) {

		double deviation(long nowNanos, double fadeNanos) {
			return (this.count - this.mean) * Times.decay(nowNanos - this.atNanos, fadeNanos);
		}

	}

}
