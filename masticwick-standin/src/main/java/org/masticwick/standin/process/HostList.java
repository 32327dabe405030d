package org.masticwick.standin.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.HostAddress;
import org.masticwick.standin.connection.StandinException;

/**
 * Keeps the list of hosts made from leases; what it shows is the state of a while ago.
 */
final class HostList {

	private final Deque<Change> pending = new ArrayDeque<>();

	private final Map<HostAddress, Change> visible = new TreeMap<>();

	private long lagNanos;

	/**
	 * Creates an empty list.
	 * @param lagMillis how far it lags behind, in milliseconds
	 */
	HostList(long lagMillis) {
		setLag(lagMillis);
	}

	/**
	 * Changes how far the list lags behind.
	 * @param lagMillis the lag in milliseconds
	 */
	synchronized void setLag(long lagMillis) {
		this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
	}

	/**
	 * Adds a host or renews its lease.
	 * @param address the address of the host
	 * @param lease what the host tells of itself
	 * @param nowNanos the time
	 */
	synchronized void put(HostAddress address, HostLease lease, long nowNanos) {
		apply(nowNanos);
		this.pending.add(new Change(address, lease, nowNanos));
	}

	/**
	 * Removes a host.
	 * @param address the address of the host
	 * @param nowNanos the time
	 */
	synchronized void remove(HostAddress address, long nowNanos) {
		apply(nowNanos);
		this.pending.add(new Change(address, null, nowNanos));
	}

	/**
	 * Lists the hosts as they were a lag ago.
	 * @param nowNanos the time
	 * @return the hosts in the order of their addresses
	 */
	synchronized List<HostView> list(long nowNanos) {
		apply(nowNanos);
		return this.visible.values().stream().map(Change::view).toList();
	}

	private void apply(long nowNanos) {
		long horizonNanos = nowNanos - this.lagNanos;
		while (!this.pending.isEmpty() && this.pending.peek().atNanos() - horizonNanos <= 0) {
			Change change = this.pending.poll();
			if (change.lease() != null) {
				this.visible.put(change.address(), change);
			}
			else {
				this.visible.remove(change.address());
			}
		}
		this.visible.values().removeIf((change) -> change.lapseNanos() - horizonNanos <= 0);
	}

	/**
	 * Is what a host tells of itself.
	 *
	 * @param role {@code entry} or {@code endpoint}
	 * @param domain the failure domain
	 * @param state {@code live} or {@code leaving}
	 * @param leaseMs how long this holds, in milliseconds
	 */
	record HostLease(String role, String domain, String state, long leaseMs) {

		/**
		 * Checks the fields.
		 * @throws StandinException if a field is missing or unknown
		 */
		HostLease {
			if (!isRole(role) || !isState(state) || domain == null || leaseMs <= 0) {
				throw new StandinException(ErrorCode.INVALID_REQUEST, "A field of the lease is missing or unknown");
			}
		}

		private static boolean isRole(String role) {
			return "entry".equals(role) || "endpoint".equals(role);
		}

		private static boolean isState(String state) {
			return "live".equals(state) || "leaving".equals(state);
		}

	}

	/**
	 * Is a line of the list.
	 *
	 * @param address where the host listens
	 * @param role {@code entry} or {@code endpoint}
	 * @param domain the failure domain
	 * @param state {@code live} or {@code leaving}
	 */
	record HostView(String address, String role, String domain, String state) {

	}

	/**
	 * Is a change of the list that shows after the lag.
	 *
	 * @param address where the host listens
	 * @param lease what the host tells, or {@code null} if it was removed
	 * @param atNanos when it was told
	 */
	private record Change(HostAddress address, HostLease lease, long atNanos) {

		long lapseNanos() {
			return this.atNanos + TimeUnit.MILLISECONDS.toNanos(this.lease.leaseMs());
		}

		HostView view() {
			return new HostView(this.address.toString(), this.lease.role(), this.lease.domain(), this.lease.state());
		}

	}

}
