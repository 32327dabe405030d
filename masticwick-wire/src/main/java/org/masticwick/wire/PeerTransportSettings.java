package org.masticwick.wire;

/**
 * Settings of the transport between entry hosts.
 *
 * @param bindIp the IP address to listen on, which peers connect to
 * @param bindPort the port to listen on, or 0 to let the system choose
 * @param connectTimeoutMillis the time limit for opening a connection, in milliseconds
 * @param idleTimeoutMillis the time without a received byte after which a connection is
 * closed, in milliseconds
 * @param idleCheck which connections are checked for the idle timeout
 * @param minBackoffMillis the upper limit of the delay after the first failed connection
 * attempt, in milliseconds; it doubles with each further failure
 * @param maxBackoffMillis the maximum delay after failed connection attempts, in
 * milliseconds
 * @param maxOutboundBytes the number of bytes waiting to be written on one connection at
 * which it refuses further messages
 * @param maxPendingCallCount the maximum number of pending calls on one connection, in
 * each direction
 */
public record PeerTransportSettings(String bindIp, int bindPort, int connectTimeoutMillis, long idleTimeoutMillis,
		IdleCheck idleCheck, long minBackoffMillis, long maxBackoffMillis, int maxOutboundBytes,
		int maxPendingCallCount) {

	private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

	private static final long DEFAULT_MIN_BACKOFF_MILLIS = 50;

	private static final long DEFAULT_MAX_BACKOFF_MILLIS = 1_000;

	private static final int DEFAULT_MAX_OUTBOUND_BYTES = 4 * 1024 * 1024;

	private static final int DEFAULT_MAX_PENDING_CALL_COUNT = 8_192;

	/**
	 * Returns the default settings for an address.
	 * @param bindIp the IP address to listen on
	 * @param bindPort the port to listen on, or 0 to let the system choose
	 * @return the settings
	 */
	public static PeerTransportSettings of(String bindIp, int bindPort) {
		return new PeerTransportSettings(bindIp, bindPort, DEFAULT_CONNECT_TIMEOUT_MILLIS, DEFAULT_IDLE_TIMEOUT_MILLIS,
				IdleCheck.ALWAYS, DEFAULT_MIN_BACKOFF_MILLIS, DEFAULT_MAX_BACKOFF_MILLIS, DEFAULT_MAX_OUTBOUND_BYTES,
				DEFAULT_MAX_PENDING_CALL_COUNT);
	}

	/**
	 * Returns these settings with a different idle timeout.
	 * @param timeoutMillis the timeout in milliseconds
	 * @return the changed copy
	 */
	public PeerTransportSettings withIdleTimeoutMillis(long timeoutMillis) {
		return new PeerTransportSettings(this.bindIp, this.bindPort, this.connectTimeoutMillis, timeoutMillis,
				this.idleCheck, this.minBackoffMillis, this.maxBackoffMillis, this.maxOutboundBytes,
				this.maxPendingCallCount);
	}

	/**
	 * Returns these settings with a different limit on the bytes waiting to be written.
	 * @param limitBytes the limit in bytes
	 * @return the changed copy
	 */
	public PeerTransportSettings withMaxOutboundBytes(int limitBytes) {
		return new PeerTransportSettings(this.bindIp, this.bindPort, this.connectTimeoutMillis, this.idleTimeoutMillis,
				this.idleCheck, this.minBackoffMillis, this.maxBackoffMillis, limitBytes, this.maxPendingCallCount);
	}

	/**
	 * Returns these settings with a different idle check.
	 * @param check which connections are checked
	 * @return the changed copy
	 */
	public PeerTransportSettings withIdleCheck(IdleCheck check) {
		return new PeerTransportSettings(this.bindIp, this.bindPort, this.connectTimeoutMillis, this.idleTimeoutMillis,
				check, this.minBackoffMillis, this.maxBackoffMillis, this.maxOutboundBytes, this.maxPendingCallCount);
	}

	/**
	 * Selects the connections that are pinged, and closed if no byte arrives.
	 */
	public enum IdleCheck {

		/** All connections, so that peers must answer pings. */
		ALWAYS,

		/**
		 * Connections with pending calls. Others carry messages in one direction only;
		 * their receiver notices that messages stay away, and its host tells the sender,
		 * which then calls {@link PeerTransport#reconnect}.
		 */
		PENDING_CALLS

	}

}
