package org.masticwick.standin.process;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.standin.connection.StandinException;

/**
 * Body of {@code POST /admin/faults}: the faults to set or clear on one or all workers. A
 * field that is {@code null} leaves its fault unchanged. Fields of type
 * {@link FaultCount} apply to that many of the next responses.
 *
 * @param worker the index of the worker, or {@code all} for every worker of the process
 * @param failAll whether every started task fails at once
 * @param failFraction the fraction of started tasks that fail at once, 0 to 1
 * @param seed the seed of the random numbers that decide which tasks fail
 * @param slowFactor the factor that run times are multiplied by
 * @param leaving whether the worker refuses new tasks and reports itself as leaving to
 * the platform
 * @param refuseAllFull whether every new task is refused as if no slot were free
 * @param silent {@code true} makes the connections that are open now unresponsive for
 * good; later connections work
 * @param truncateReplies the number of results to send with fewer bytes than declared
 * @param overlongReplies the number of results to send with more bytes than declared
 * @param loseReplies the number of results to lose by closing the connection
 * @param doubleReplies the number of results and refusals to send twice
 * @param wrongTaskId the number of results to send with the id of another task
 * @param lateReplyMs the delay between the termination of a task and the sending of its
 * result, in milliseconds
 * @param stop {@code true} closes the listener and its connections, as if the process had
 * died
 * @param start {@code true} opens the listener again on the same address
 */
record WorkerFaultRequest(JsonNode worker, Boolean failAll, Double failFraction, Long seed, Double slowFactor,
		Boolean leaving, Boolean refuseAllFull, Boolean silent, FaultCount truncateReplies, FaultCount overlongReplies,
		FaultCount loseReplies, FaultCount doubleReplies, FaultCount wrongTaskId, Long lateReplyMs, Boolean stop,
		Boolean start) {

	private static final String ALL = "all";

	/**
	 * Checks that the worker is an index or {@code all}.
	 * @throws StandinException if it is neither an index nor {@code all}
	 */
	WorkerFaultRequest {
		if (worker == null || !(worker.isInt() || ALL.equals(worker.textValue()))) {
			throw new StandinException(ErrorCode.INVALID_REQUEST, "worker must be an index or \"all\": " + worker);
		}
	}

	/**
	 * Returns whether the request applies to a worker.
	 * @param index the index of the worker
	 * @return {@code true} if the request is for this worker or for all
	 */
	boolean appliesTo(int index) {
		return !this.worker.isInt() || this.worker.intValue() == index;
	}

}
