package org.masticwick.daemon.process;

import java.util.concurrent.CompletableFuture;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.request.RoutedRequest;

/**
 * Is what the HTTP server shows to callers and operators.
 */
interface ApiBackend {

	/**
	 * Issues tickets.
	 * @param body the body of the request
	 * @return the answer to come
	 */
	CompletableFuture<HttpAnswer> issueTickets(byte[] body);

	/**
	 * Serves a request for a job.
	 * @param request the request
	 * @return the answer to come
	 */
	CompletableFuture<HttpAnswer> serveJobRequest(RoutedRequest request);

	/**
	 * Tells what is in force on each host and how old that knowledge is.
	 * @return the answer
	 */
	HttpAnswer versionReport();

	/**
	 * Tells the verdict on a release note.
	 * @param noteId the id of the note
	 * @return the answer
	 */
	HttpAnswer noteReport(String noteId);

	/**
	 * Tells whether the host takes new callers.
	 * @return {@code true} if it does
	 */
	boolean ready();

	/**
	 * Returns the metrics.
	 * @return the text in UTF-8
	 */
	byte[] metrics();

	/**
	 * Counts a request that was refused before it reached a job.
	 * @param code the code
	 */
	void countRefusal(ErrorCode code);

	/**
	 * Returns the state of the process, bounded in size and without secrets.
	 * @return the answer
	 */
	HttpAnswer stateDump();

}
