package org.masticwick.standin.connection;

/**
 * Handles the requests of a listener. It is called on the event loop threads of the
 * listener and must not block.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Handles a request. The response may be sent later and from another thread.
	 * @param exchange the request and the means to respond to it
	 */
	void handle(HttpExchange exchange);

}
