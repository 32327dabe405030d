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
 * Keeps the parts of a transfer until its last message comes. A transfer of which a part
 * is missing is not taken over. Answers for which there is no memory are forgotten, their
 * tickets are not.
 */
final class StagedJobs {

	private final Map<Incarnation, List<InheritedJob>> jobsByIssuer = new ConcurrentHashMap<>();

	/**
	 * Keeps a part.
	 * @param part the part
	 * @param freeBytes how much memory there is for answers, in bytes
	 * @return {@code true}, since a part can always be kept
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
	 * Takes the last message of a transfer.
	 * @param lastMessage the message
	 * @param freeBytes how much memory there is for answers, in bytes
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
				"The host that had the answer stopped, and its heir had no memory for it");
		return new InheritedJob(job.ticket(), job.digest(), answer.status(), answer.contentType(), answer.body());
	}

}
