package org.masticwick.wire;

/**
 * Settings of the transport between entry hosts.
 *
 * @param bindIp the IP number to listen on, which peers use too
 * @param bindPort the port to listen on, or 0 to let the system choose
 * @param connectTimeoutMillis how long opening a connection may take, in milliseconds
 * @param idleTimeoutMillis after how long without a byte a connection is closed, in
 * milliseconds
 * @param minBackoffMillis how long to wait after the first failed connection, in
 * milliseconds
 * @param maxBackoffMillis the longest wait after failed connections, in milliseconds
 * @param maxOutboundBytes how much may wait to be written on one connection, in bytes
 * @param maxPendingCallCount how many calls may be under way on one connection
 */
public record PeerTransportSettings(String bindIp, int bindPort, int connectTimeoutMillis, long idleTimeoutMillis,
		long minBackoffMillis, long maxBackoffMillis, int maxOutboundBytes, int maxPendingCallCount) {

	private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

	private static final long DEFAULT_MIN_BACKOFF_MILLIS = 50;

	private static final long DEFAULT_MAX_BACKOFF_MILLIS = 1_000;

	private static final int DEFAULT_MAX_OUTBOUND_BYTES = 4 * 1024 * 1024;

	private static final int DEFAULT_MAX_PENDING_CALL_COUNT = 8_192;

	/**
	 * Returns the default settings for an address.
	 * @param bindIp the IP number to listen on
	 * @param bindPort the port to listen on, or 0
	 * @return the settings
	 */
	public static PeerTransportSettings of(String bindIp, int bindPort) {
		return new PeerTransportSettings(bindIp, bindPort, DEFAULT_CONNECT_TIMEOUT_MILLIS, DEFAULT_IDLE_TIMEOUT_MILLIS,
				DEFAULT_MIN_BACKOFF_MILLIS, DEFAULT_MAX_BACKOFF_MILLIS, DEFAULT_MAX_OUTBOUND_BYTES,
				DEFAULT_MAX_PENDING_CALL_COUNT);
	}

	/**
	 * Returns these settings with another silence limit.
	 * @param limitMillis the limit in milliseconds
	 * @return the changed copy
	 */
	public PeerTransportSettings withIdleTimeoutMillis(long limitMillis) {
		return new PeerTransportSettings(this.bindIp, this.bindPort, this.connectTimeoutMillis, limitMillis,
				this.minBackoffMillis, this.maxBackoffMillis, this.maxOutboundBytes, this.maxPendingCallCount);
	}

	/**
	 * Returns these settings with another bound on what waits to be written.
	 * @param limitBytes the bound in bytes
	 * @return the changed copy
	 */
	public PeerTransportSettings withMaxOutboundBytes(int limitBytes) {
		return new PeerTransportSettings(this.bindIp, this.bindPort, this.connectTimeoutMillis, this.idleTimeoutMillis,
				this.minBackoffMillis, this.maxBackoffMillis, limitBytes, this.maxPendingCallCount);
	}

}
