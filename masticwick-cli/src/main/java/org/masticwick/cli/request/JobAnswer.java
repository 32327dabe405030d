package org.masticwick.cli.request;

import java.util.List;

/**
 * Tells what became of a job.
 */
public sealed interface JobAnswer {

	/**
	 * Returns the ticket of the job.
	 * @return the text of the ticket
	 */
	String ticket();

	/**
	 * Holds the results of all tasks.
	 *
	 * @param ticket the ticket
	 * @param results the results in the order of the tasks
	 */
	record Complete(String ticket, List<String> results) implements JobAnswer {

		/**
		 * Copies the results.
		 */
		public Complete {
			results = List.copyOf(results);
		}

	}

	/**
	 * Tells that the job has not ended yet.
	 *
	 * @param ticket the ticket
	 */
	record Running(String ticket) implements JobAnswer {

	}

	/**
	 * Tells that no task was started and none will be.
	 *
	 * @param ticket the ticket
	 * @param problem why
	 */
	record Refused(String ticket, Problem problem) implements JobAnswer {

	}

	/**
	 * Tells that the job was run and has no complete answer.
	 *
	 * @param ticket the ticket
	 * @param problem why
	 */
	record Failed(String ticket, Problem problem) implements JobAnswer {

	}

	/**
	 * Tells that what became of the job can't be known now.
	 *
	 * @param ticket the ticket
	 * @param problem why
	 */
	record Unknown(String ticket, Problem problem) implements JobAnswer {

	}

}
