package org.masticwick.daemon.request;

import org.masticwick.core.request.Ticket;
import org.masticwick.wire.PeerMessage.ForwardOperation;

/**
 * Is a caller's request on its way to the home of its ticket.
 *
 * @param operation what to do
 * @param ticket the ticket
 * @param body the body of a submission; empty for other operations
 * @param waitMillis how long the caller waits for the answer, in milliseconds
 */
public record RoutedRequest(ForwardOperation operation, Ticket ticket, byte[] body, long waitMillis) {

	/**
	 * Returns the same request with another operation.
	 * @param newOperation the operation
	 * @return the request
	 */
	RoutedRequest withOperation(ForwardOperation newOperation) {
		return new RoutedRequest(newOperation, this.ticket, this.body, this.waitMillis);
	}

}
