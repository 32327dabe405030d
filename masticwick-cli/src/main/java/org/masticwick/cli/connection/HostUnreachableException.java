package org.masticwick.cli.connection;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Thrown when no complete HTTP response was received from a host.
 */
public class HostUnreachableException extends MasticwickException {

	private final boolean possiblyDelivered;

	/**
	 * Creates an exception.
	 * @param message a human-readable description
	 * @param possiblyDelivered whether the request may have reached the host
	 * @param cause the I/O or parse error, or {@code null}
	 */
	public HostUnreachableException(String message, boolean possiblyDelivered, Throwable cause) {
		super(ErrorCode.PEER_UNAVAILABLE, message, cause);
		this.possiblyDelivered = possiblyDelivered;
	}

	/**
	 * Returns whether the request may have reached the host.
	 * @return {@code false} if no connection was established
	 */
	public boolean possiblyDelivered() {
		return this.possiblyDelivered;
	}

}
