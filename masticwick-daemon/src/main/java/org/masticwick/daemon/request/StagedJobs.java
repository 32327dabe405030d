package org.masticwick.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.Incarnation;
import org.masticwick.wire.PeerMessage.InheritTickets;
import org.masticwick.wire.PeerMessage.InheritedJob;

/**
 * Stores the jobs of a ticket transfer until its last message arrives. A transfer with
 * missing parts is refused. Answers that do not fit into memory are dropped, but their
 * tickets are kept, so that none of them can be submitted again.
 */
final class StagedJobs {

	private final Map<Incarnation, List<InheritedJob>> jobsByIssuer = new ConcurrentHashMap<>();

	/**
	 * Stores the jobs of a message.
	 * @param part the message
	 * @param freeBytes the free memory for answers, in bytes
	 * @return always {@code true}, since answers that do not fit are dropped
	 */
	synchronized boolean add(InheritTickets part, long freeBytes) {
		List<InheritedJob> stagedJobs = this.jobsByIssuer.computeIfAbsent(part.issuer().incarnation(),
				(incarnation) -> new ArrayList<>());
		long usedBytes = stagedJobs.stream().mapToLong((job) -> job.body().length).sum();
		for (InheritedJob job : part.jobs()) {
			usedBytes += job.body().length;
			stagedJobs.add((usedBytes <= freeBytes) ? job : withoutAnswer(job));
		}
		return true;
	}

	/**
	 * Processes the last message of a transfer and removes the stored jobs.
	 * @param lastMessage the message, which holds the number of jobs of the transfer
	 * @param freeBytes the free memory for answers, in bytes
	 * @return all jobs of the transfer, or empty if a part is missing
	 */
	synchronized Optional<List<InheritedJob>> complete(InheritTickets lastMessage, long freeBytes) {
		add(lastMessage, freeBytes);
		List<InheritedJob> stagedJobs = this.jobsByIssuer.remove(lastMessage.issuer().incarnation());
		return Optional.of(stagedJobs).filter((jobs) -> jobs.size() == lastMessage.jobCount());
	}

	private static InheritedJob withoutAnswer(InheritedJob job) {
		if (job.status() == TicketOffer.RUNNING_STATUS) {
			return job;
		}
		HttpAnswer answer = Answers.problem(ErrorCode.OUTCOME_FORGOTTEN,
				"The host that stored the answer stopped, and its successor had no memory for the answer");
		return new InheritedJob(job.ticket(), job.digest(), answer.status(), answer.contentType(), answer.body());
	}

}
