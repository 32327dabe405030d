package org.masticwick.wire;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.MasticwickException;

/**
 * Signals that a call to a peer got no answer. Its code is
 * {@link ErrorCode#PEER_UNAVAILABLE}.
 */
public class PeerException extends MasticwickException {

	private final boolean mayHaveBeenSent;

	/**
	 * Creates the exception.
	 * @param message the details for people
	 * @param cause the underlying error, or {@code null}
	 * @param mayHaveBeenSent whether a byte of the request may have left this process
	 */
	public PeerException(String message, Throwable cause, boolean mayHaveBeenSent) {
		super(ErrorCode.PEER_UNAVAILABLE, message, cause);
		this.mayHaveBeenSent = mayHaveBeenSent;
	}

	/**
	 * Returns whether the peer may have received the request.
	 * @return {@code false} if it is certain that no byte of it left this process
	 */
	public boolean mayHaveBeenSent() {
		return this.mayHaveBeenSent;
	}

}
