package org.masticwick.fleet.process;

import java.util.OptionalLong;

import org.masticwick.core.pool.EndpointEntry;

/**
 * The lease of one endpoint, as seen by the owner of its pool.
 */
final class EndpointLease {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final LeaseSettings settings;

	private EndpointEntry entry;

	private long lastClockMillis;

	private long clockReadMillis = NEVER;

	private long lastContactMillis = NEVER;

	private long renewedMillis = NEVER;

	/**
	 * The time up to which the endpoint may have got a lease whose end is by the clock of
	 * another incarnation.
	 */
	private long shortenedMillis = NEVER;

	private long startedEpochMillis;

	private boolean expiryReported = true;

	private boolean unresponsive = true;

	private boolean closed;

	private boolean renewing;

	EndpointLease(LeaseSettings settings, EndpointEntry entry) {
		this.settings = settings;
		this.entry = entry;
	}

	EndpointEntry entry() {
		return this.entry;
	}

	void setEntry(EndpointEntry newestEntry) {
		this.entry = newestEntry;
	}

	/**
	 * Returns whether a renewal is in progress or scheduled.
	 * @return whether there is one
	 */
	boolean isRenewing() {
		return this.renewing;
	}

	void setRenewing(boolean isRenewing) {
		this.renewing = isRenewing;
	}

	boolean isClosed() {
		return this.closed;
	}

	void close() {
		this.closed = true;
	}

	/**
	 * Records a report of the endpoint. One of a previous incarnation has no effect.
	 * @param reportedStartEpochMillis the start time of the incarnation that wrote it, in
	 * milliseconds since 1970
	 * @param endpointClockMillis the clock of the endpoint, in milliseconds
	 * @param nowMillis the time in milliseconds
	 */
	void recordContact(long reportedStartEpochMillis, long endpointClockMillis, long nowMillis) {
		if (reportedStartEpochMillis < this.startedEpochMillis) {
			return;
		}
		if (reportedStartEpochMillis > this.startedEpochMillis) {
			// Renewals by the clock of the previous incarnation may have reached this
			// one.
			this.shortenedMillis = this.renewedMillis;
			this.startedEpochMillis = reportedStartEpochMillis;
		}
		if (this.expiryReported && this.renewedMillis != NEVER) {
			// A start that was executed late may have got a lease since the last one
			// expired.
			this.shortenedMillis = nowMillis;
			this.expiryReported = false;
		}
		this.lastClockMillis = endpointClockMillis;
		this.clockReadMillis = nowMillis;
		this.lastContactMillis = nowMillis;
	}

	boolean hasContact() {
		return this.lastContactMillis != NEVER;
	}

	long lastContactMillis() {
		return this.lastContactMillis;
	}

	boolean isUnresponsive(long nowMillis, long limitMillis) {
		return nowMillis - this.lastContactMillis > limitMillis;
	}

	/**
	 * Records whether the endpoint is unresponsive.
	 * @param isUnresponsive whether it is unresponsive now
	 * @return whether that has changed
	 */
	boolean updateUnresponsive(boolean isUnresponsive) {
		boolean changed = this.unresponsive != isUnresponsive;
		this.unresponsive = isUnresponsive;
		return changed;
	}

	/**
	 * Renews the lease for the command that is about to be sent, which carries its new
	 * end.
	 * @param nowMillis the time in milliseconds
	 * @return the end of the lease by the endpoint's clock in milliseconds, or empty if
	 * the endpoint has not reported its clock yet
	 */
	OptionalLong renew(long nowMillis) {
		if (this.clockReadMillis == NEVER) {
			return OptionalLong.empty();
		}
		this.renewedMillis = nowMillis;
		this.expiryReported = false;
		return OptionalLong.of(this.lastClockMillis + (nowMillis - this.clockReadMillis) + this.settings.leaseMillis());
	}

	/**
	 * Returns whether the lease has certainly expired; is true once for each renewed
	 * lease.
	 * @param nowMillis the time in milliseconds
	 * @return whether no run under this lease can still be running
	 */
	boolean pollExpiry(long nowMillis) {
		if (this.expiryReported || nowMillis - this.renewedMillis <= this.settings.maxLeaseMillis()
				|| nowMillis - this.shortenedMillis <= this.settings.maxShortenedLeaseMillis()) {
			return false;
		}
		this.expiryReported = true;
		return true;
	}

}
