package org.masticwick.fleet.request;

/**
 * An open request of a caller, to which one reply is sent.
 */
public interface CallerExchange {

	/**
	 * Sends the reply. Does nothing if one was sent already or the caller has
	 * disconnected.
	 * @param reply the reply
	 */
	void reply(CallerReply reply);

	/**
	 * Sets the action to run if the caller disconnects before the reply is sent.
	 * @param action the action, which replaces one set before
	 */
	void onDisconnect(Runnable action);

}
