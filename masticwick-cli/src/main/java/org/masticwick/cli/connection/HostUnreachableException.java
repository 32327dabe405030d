package org.masticwick.cli.connection;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that no whole answer came from a host.
 */
public class HostUnreachableException extends MasticwickException {

	private final boolean connected;

	/**
	 * Creates an error from that of the transport.
	 * @param message the details for people
	 * @param connected whether the request may have reached the host
	 * @param cause the error of the transport
	 */
	public HostUnreachableException(String message, boolean connected, Throwable cause) {
		super(ErrorCode.PEER_UNAVAILABLE, message, cause);
		this.connected = connected;
	}

	/**
	 * Tells whether the request may have reached the host.
	 * @return {@code false} if no connection was made
	 */
	public boolean connected() {
		return this.connected;
	}

}
