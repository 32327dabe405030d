package org.masticwick.cli.request;

import java.util.List;

/**
 * The answer about a job, as a caller of {@link JobClient} gets it.
 */
public sealed interface JobAnswer {

	/**
	 * Returns the ticket of the job.
	 * @return the text of the ticket
	 */
	String ticket();

	/**
	 * The job completed, with a result of every task.
	 *
	 * @param ticket the ticket of the job
	 * @param results the results of the tasks, in the order of the tasks in the job
	 */
	record Complete(String ticket, List<String> results) implements JobAnswer {

		/**
		 * Creates an answer with a copy of the results.
		 */
		public Complete {
			results = List.copyOf(results);
		}

	}

	/**
	 * The job has not finished yet.
	 *
	 * @param ticket the ticket of the job
	 */
	record Running(String ticket) implements JobAnswer {

	}

	/**
	 * The job was refused: no task was started and none will be.
	 *
	 * @param ticket the ticket of the job
	 * @param problem the reason
	 */
	record Refused(String ticket, Problem problem) implements JobAnswer {

	}

	/**
	 * The job was run but has no complete answer.
	 *
	 * @param ticket the ticket of the job
	 * @param problem the reason
	 */
	record Failed(String ticket, Problem problem) implements JobAnswer {

	}

	/**
	 * The outcome of the job can't be determined now.
	 *
	 * @param ticket the ticket of the job
	 * @param problem the reason
	 */
	record Unknown(String ticket, Problem problem) implements JobAnswer {

	}

}
