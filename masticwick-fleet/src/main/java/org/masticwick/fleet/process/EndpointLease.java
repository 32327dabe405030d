package org.masticwick.fleet.process;

import java.util.OptionalLong;

import org.masticwick.core.pool.EndpointEntry;

/**
 * The lease of one endpoint as its owner keeps it.
 */
final class EndpointLease {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final LeaseSettings settings;

	private EndpointEntry entry;

	private long clockMillis;

	private long clockReadMillis = NEVER;

	private long heardMillis = NEVER;

	private long renewedMillis = NEVER;

	private boolean lapseReported = true;

	private boolean silent = true;

	private boolean closed;

	private boolean renewing;

	EndpointLease(LeaseSettings settings, EndpointEntry entry) {
		this.settings = settings;
		this.entry = entry;
	}

	EndpointEntry entry() {
		return this.entry;
	}

	void entry(EndpointEntry newest) {
		this.entry = newest;
	}

	/**
	 * Returns whether a renewal is under way or due.
	 * @return whether one is
	 */
	boolean isRenewing() {
		return this.renewing;
	}

	void renewing(boolean underWay) {
		this.renewing = underWay;
	}

	boolean isClosed() {
		return this.closed;
	}

	void close() {
		this.closed = true;
	}

	void heard(long endpointClockMillis, long nowMillis) {
		this.clockMillis = endpointClockMillis;
		this.clockReadMillis = nowMillis;
		this.heardMillis = nowMillis;
	}

	long heardMillis() {
		return this.heardMillis;
	}

	boolean isSilent(long nowMillis, long limitMillis) {
		return nowMillis - this.heardMillis > limitMillis;
	}

	/**
	 * Takes note of silence, or its end.
	 * @param isSilent whether the endpoint is silent now
	 * @return whether that has changed
	 */
	boolean changeSilence(boolean isSilent) {
		boolean changed = this.silent != isSilent;
		this.silent = isSilent;
		return changed;
	}

	/**
	 * Renews the lease with the order that is about to be sent.
	 * @param nowMillis the time in milliseconds
	 * @return the end of the lease by the endpoint's clock, or empty if the clock is not
	 * known
	 */
	OptionalLong renew(long nowMillis) {
		if (this.clockReadMillis == NEVER) {
			return OptionalLong.empty();
		}
		this.renewedMillis = nowMillis;
		this.lapseReported = false;
		return OptionalLong.of(this.clockMillis + (nowMillis - this.clockReadMillis) + this.settings.leaseMillis());
	}

	/**
	 * Returns whether the lease has certainly run out by now; tells so once for each
	 * lease.
	 * @param nowMillis the time in milliseconds
	 * @return whether nothing that was ordered before can run any more
	 */
	boolean takeLapse(long nowMillis) {
		if (this.lapseReported || nowMillis - this.renewedMillis <= this.settings.longestMillis()) {
			return false;
		}
		this.lapseReported = true;
		return true;
	}

}
