package org.masticwick.standin.process;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.standin.connection.StandinException;

/**
 * Is a request to change the faults of workers; what is {@code null} stays.
 *
 * @param worker the index of the worker, or {@code all}
 * @param failAll whether every started task fails at once
 * @param failFraction which share of started tasks fails at once, 0 to 1
 * @param seed the seed that draws the tasks that fail
 * @param slowFactor what run times are multiplied by
 * @param leaving whether new tasks are refused and the host list shows the worker leaving
 * @param refuseAllFull whether every new task is refused as if no slot were free
 * @param silent {@code true} makes the open connections silent for good
 * @param truncateReplies which results are cut short
 * @param overlongReplies which results are longer than declared
 * @param loseReplies which results are lost with their connection
 * @param doubleReplies which results and refusals are written twice
 * @param wrongTaskId which results carry the id of another task
 * @param lateReplyMs how late results are sent, in milliseconds
 * @param stop {@code true} closes the listener and its connections
 * @param start {@code true} opens the listener again
 */
record WorkerFaultRequest(JsonNode worker, Boolean failAll, Double failFraction, Long seed, Double slowFactor,
		Boolean leaving, Boolean refuseAllFull, Boolean silent, FaultCount truncateReplies, FaultCount overlongReplies,
		FaultCount loseReplies, FaultCount doubleReplies, FaultCount wrongTaskId, Long lateReplyMs, Boolean stop,
		Boolean start) {

	private static final String ALL = "all";

	/**
	 * Checks the worker.
	 * @throws StandinException if it is neither an index nor {@code all}
	 */
	WorkerFaultRequest {
		if (worker == null || !(worker.isInt() || ALL.equals(worker.textValue()))) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, "worker is an index or \"all\": " + worker);
		}
	}

	/**
	 * Tells whether the request is for a worker.
	 * @param index the index of the worker
	 * @return {@code true} if it is
	 */
	boolean appliesTo(int index) {
		return !this.worker.isInt() || this.worker.intValue() == index;
	}

}
