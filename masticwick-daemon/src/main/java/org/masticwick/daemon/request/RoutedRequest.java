package org.masticwick.daemon.request;

import org.masticwick.core.request.Ticket;
import org.masticwick.wire.PeerMessage.ForwardOperation;

/**
 * Represents a caller's request that is routed to the host that holds its ticket.
 *
 * @param operation the requested operation
 * @param ticket the ticket
 * @param body the body of a submission; empty for other operations
 * @param waitMillis how long the caller waits for the answer, in milliseconds
 */
public record RoutedRequest(ForwardOperation operation, Ticket ticket, byte[] body, long waitMillis) {

	/**
	 * Returns a copy of the request with another operation.
	 * @param newOperation the operation of the copy
	 * @return the request
	 */
	RoutedRequest withOperation(ForwardOperation newOperation) {
		return new RoutedRequest(newOperation, this.ticket, this.body, this.waitMillis);
	}

}
