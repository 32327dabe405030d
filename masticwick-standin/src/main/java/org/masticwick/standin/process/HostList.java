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
 * The host list of the platform: all hosts with an unexpired lease. Readers see it as it
 * was one lag ago.
 */
final class HostList {

	private final Deque<Change> pendingChanges = new ArrayDeque<>();

	private final Map<HostAddress, Change> visibleHosts = new TreeMap<>();

	private long lagNanos;

	/**
	 * Creates an empty list.
	 * @param lagMillis the delay until a change becomes visible, in milliseconds
	 */
	HostList(long lagMillis) {
		setLag(lagMillis);
	}

	/**
	 * Changes the lag of the list.
	 * @param lagMillis the delay until a change becomes visible, in milliseconds
	 */
	synchronized void setLag(long lagMillis) {
		this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
	}

	/**
	 * Adds a host or renews its lease.
	 * @param address the address of the host
	 * @param lease the role, domain and state of the host, and the duration of the lease
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 */
	synchronized void put(HostAddress address, HostLease lease, long nowNanos) {
		applyChanges(nowNanos);
		this.pendingChanges.add(new Change(address, lease, nowNanos));
	}

	/**
	 * Removes a host before its lease expires.
	 * @param address the address of the host
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 */
	synchronized void remove(HostAddress address, long nowNanos) {
		applyChanges(nowNanos);
		this.pendingChanges.add(new Change(address, null, nowNanos));
	}

	/**
	 * Lists the hosts as they were one lag ago.
	 * @param nowNanos the current time of the monotonic clock, in nanoseconds
	 * @return the hosts in the order of their addresses
	 */
	synchronized List<HostView> list(long nowNanos) {
		applyChanges(nowNanos);
		return this.visibleHosts.values().stream().map(Change::view).toList();
	}

	private void applyChanges(long nowNanos) {
		long visibleUntilNanos = nowNanos - this.lagNanos;
		while (!this.pendingChanges.isEmpty() && this.pendingChanges.peek().receivedNanos() - visibleUntilNanos <= 0) {
			Change change = this.pendingChanges.poll();
			if (change.lease() != null) {
				this.visibleHosts.put(change.address(), change);
			}
			else {
				this.visibleHosts.remove(change.address());
			}
		}
		this.visibleHosts.values().removeIf((change) -> change.leaseExpiryNanos() - visibleUntilNanos <= 0);
	}

	/**
	 * Body of a request by which a host puts itself on the list or renews its lease.
	 *
	 * @param role {@code entry} or {@code endpoint}
	 * @param domain the failure domain
	 * @param state {@code live} or {@code leaving}
	 * @param leaseMs the duration of the lease, in milliseconds
	 */
	record HostLease(String role, String domain, String state, long leaseMs) {

		/**
		 * Checks the fields.
		 * @throws StandinException if a field is missing or has a value that is not
		 * allowed
		 */
		HostLease {
			if (!isRole(role) || !isState(state) || domain == null || leaseMs <= 0) {
				throw new StandinException(ErrorCode.INVALID_REQUEST,
						"The lease is invalid: it needs role entry or endpoint, a domain, state live or leaving,"
								+ " and a positive lease_ms");
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
	 * An entry of the list as readers see it.
	 *
	 * @param address the address that the host listens on
	 * @param role {@code entry} or {@code endpoint}
	 * @param domain the failure domain
	 * @param state {@code live} or {@code leaving}
	 */
	record HostView(String address, String role, String domain, String state) {

	}

	/**
	 * A change of the list, visible to readers after the lag.
	 *
	 * @param address the address that the host listens on
	 * @param lease the lease, or {@code null} if the host was removed
	 * @param receivedNanos when the change was received, as the time of the monotonic
	 * clock in nanoseconds
	 */
	private record Change(HostAddress address, HostLease lease, long receivedNanos) {

		long leaseExpiryNanos() {
			return this.receivedNanos + TimeUnit.MILLISECONDS.toNanos(this.lease.leaseMs());
		}

		HostView view() {
			return new HostView(this.address.toString(), this.lease.role(), this.lease.domain(), this.lease.state());
		}

	}

}
