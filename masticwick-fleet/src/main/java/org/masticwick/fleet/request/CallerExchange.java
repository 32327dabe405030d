package org.masticwick.fleet.request;

/**
 * Connects a request of a caller with its answer.
 */
public interface CallerExchange {

	/**
	 * Sends the answer, if the caller is still there.
	 * @param reply the answer
	 */
	void reply(CallerReply reply);

	/**
	 * Registers what to do if the caller leaves before the answer.
	 * @param action the action
	 */
	void onDisconnect(Runnable action);

}
