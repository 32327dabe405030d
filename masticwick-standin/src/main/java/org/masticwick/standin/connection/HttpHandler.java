package org.masticwick.standin.connection;

/**
 * Handles the requests of a listener. It runs on the threads of the listener and must not
 * block.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Handles a request, which may be answered later and on another thread.
	 * @param exchange the request and the way to answer it
	 */
	void handle(HttpExchange exchange);

}
