package org.masticwick.cli.connection;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Tells that no whole answer came from a host.
 */
public class HostUnreachableException extends MasticwickException {

	private final boolean possiblyDelivered;

	/**
	 * Creates an error from that of the transport.
	 * @param message the details for people
	 * @param possiblyDelivered whether the request may have reached the host
	 * @param cause the error of the transport
	 */
	public HostUnreachableException(String message, boolean possiblyDelivered, Throwable cause) {
		super(ErrorCode.PEER_UNAVAILABLE, message, cause);
		this.possiblyDelivered = possiblyDelivered;
	}

	/**
	 * Tells whether the request may have reached the host.
	 * @return {@code false} if no connection was made
	 */
	public boolean possiblyDelivered() {
		return this.possiblyDelivered;
	}

}
