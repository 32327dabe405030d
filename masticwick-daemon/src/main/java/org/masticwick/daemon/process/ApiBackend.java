package org.masticwick.daemon.process;

import java.util.concurrent.CompletableFuture;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.daemon.request.HttpAnswer;
import org.masticwick.daemon.request.RoutedRequest;

/**
 * The operations of an entry host that its HTTP server offers to callers and operators.
 */
interface ApiBackend {

	/**
	 * Issues tickets.
	 * @param body the body of the HTTP request
	 * @return completes with the answer
	 */
	CompletableFuture<HttpAnswer> issueTickets(byte[] body);

	/**
	 * Submits, reads or cancels a job, here or on the host that holds its ticket.
	 * @param request the operation and its ticket
	 * @return completes with the answer
	 */
	CompletableFuture<HttpAnswer> serveJobRequest(RoutedRequest request);

	/**
	 * Returns the active version of each known entry host and the age of that
	 * information.
	 * @return the answer
	 */
	HttpAnswer versionReport();

	/**
	 * Returns the active services, capacities and rules, with what is needed to predict
	 * the verdict on a release note.
	 * @return the answer
	 */
	HttpAnswer siteState();

	/**
	 * Returns the verdict on a release note.
	 * @param noteId the id of the note
	 * @return the answer
	 */
	HttpAnswer noteReport(String noteId);

	/**
	 * Returns whether load balancers should send new callers to this host.
	 * @return {@code true} if it has a version to serve and no planned stop has begun
	 */
	boolean ready();

	/**
	 * Returns the metrics in the Prometheus text format.
	 * @return the text in UTF-8
	 */
	byte[] metrics();

	/**
	 * Counts a request that was refused before it reached a job.
	 * @param code the error code of the refusal
	 */
	void countRefusal(ErrorCode code);

	/**
	 * Returns the state dump of the process, limited in size and without secrets.
	 * @return the dump in JSON
	 */
	HttpAnswer stateDump();

}
