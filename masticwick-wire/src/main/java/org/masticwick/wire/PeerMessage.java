package org.masticwick.wire;

import java.util.List;
import java.util.Map;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.ServiceLoad;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobRegistration;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobStatus;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.PoolTransfer;
import org.masticwick.core.pool.RegistrationScope;
import org.masticwick.core.pool.TaskLoss;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.core.process.EntryHost;

/**
 * Message between two entry hosts. Byte arrays are not copied; the receiver of a message
 * must not modify them.
 */
public sealed interface PeerMessage {

	/**
	 * Opens a connection. Each side sends one before any other message.
	 *
	 * @param sender the sending host
	 * @param protocolVersion the newest protocol version that the sender implements
	 * @param minProtocolVersion the oldest protocol version that the sender accepts
	 */
	record Hello(EntryHost sender, int protocolVersion, int minProtocolVersion) implements PeerMessage {
	}

	/**
	 * Reports the liveness and state of the sender to the peers of its failure domain.
	 *
	 * @param sender the sending host; not encoded, since the receiver has it from the
	 * {@link Hello} of the connection
	 * @param sequence a number that increases with each heartbeat of the incarnation
	 * @param loadComplete {@code true} if the load in the status replaces the previous
	 * report; {@code false} if it holds only the entries that changed since then, where
	 * an entry of zeros removes the previous one
	 * @param status the state that the sender reports of itself
	 */
	record Heartbeat(EntryHost sender, long sequence, boolean loadComplete, PeerStatus status) implements PeerMessage {
	}

	/**
	 * Reports the entry hosts of one failure domain to another.
	 *
	 * @param domain the failure domain that the hosts belong to
	 * @param services the load of the domain by name of service
	 * @param hosts the hosts
	 */
	record DomainSummary(String domain, Map<String, ServiceLoad> services,
			List<HostSummary> hosts) implements PeerMessage {
	}

	/**
	 * Requests records of the log of release notes from a peer.
	 *
	 * @param fromOffset the offset of the first record to send
	 * @param versionNumber the active version of the requesting host
	 * @param maxRecordCount the maximum number of records to send
	 */
	record FetchRecords(long fromOffset, long versionNumber, int maxRecordCount) implements PeerMessage {
	}

	/**
	 * Answers {@link FetchRecords}.
	 *
	 * @param records the records, in the order of their offsets
	 * @param snapshot the accepted state, or {@code null} if the records suffice
	 * @param snapshotOffset the offset that the snapshot corresponds to
	 * @param fromOffset the offset of the first record, also if there are no records
	 * @param fromHash the hash of the history before {@code fromOffset}
	 */
	record Records(List<RecordEntry> records, String snapshot, long snapshotOffset, long fromOffset,
			String fromHash) implements PeerMessage {

		/**
		 * Creates an answer that does not state the offset of its first record.
		 * @param records the records, in the order of their offsets
		 * @param snapshot the accepted state, or {@code null} if the records suffice
		 * @param snapshotOffset the offset that the snapshot corresponds to
		 */
		public Records(List<RecordEntry> records, String snapshot, long snapshotOffset) {
			this(records, snapshot, snapshotOffset, 0, "");
		}

	}

	/**
	 * Forwards the request of a caller to the host that holds its ticket. The answer may
	 * take as long as the caller waits.
	 *
	 * @param operation the operation that the caller requests
	 * @param ticket the ticket
	 * @param body the body of the request, empty if there is none
	 * @param waitMillis how long to wait for the job to finish, in milliseconds
	 */
	record Forward(ForwardOperation operation, String ticket, byte[] body, long waitMillis) implements PeerMessage {
	}

	/**
	 * Answers {@link Forward} with the response for the caller.
	 *
	 * @param status the HTTP status
	 * @param contentType the content type of the body
	 * @param body the body
	 * @param retryAfterMillis the delay after which the caller may retry, in
	 * milliseconds, or -1 for no such hint
	 */
	record ForwardAnswer(int status, String contentType, byte[] body, long retryAfterMillis) implements PeerMessage {
	}

	/**
	 * Transfers the unexpired tickets of a stopping host to its successor. A long list of
	 * jobs is split over several messages; only the last one carries the key and
	 * transfers the tickets.
	 *
	 * @param issuer the host that issued the tickets
	 * @param stoppingHost the stopping host, which runs the open jobs to completion;
	 * differs from the issuer if it had inherited the tickets itself
	 * @param issuerEpochMillis the time by the clock of the issuer, in milliseconds since
	 * the epoch
	 * @param nextSequence the first sequence number that no ticket was issued for
	 * @param key the key that signs the tickets, empty in all messages but the last
	 * @param expiresAtEpochMillis when the last of the tickets expires, in milliseconds
	 * since the epoch
	 * @param jobs the submitted jobs, or some of them if the list is split
	 * @param jobCount the total number of jobs in all messages, or {@value #PARTIAL_LIST}
	 * in all messages but the last
	 */
	record InheritTickets(EntryHost issuer, EntryHost stoppingHost, long issuerEpochMillis, long nextSequence,
			byte[] key, long expiresAtEpochMillis, List<InheritedJob> jobs, int jobCount) implements PeerMessage {

		/** Replaces the job count in all messages but the last. */
		public static final int PARTIAL_LIST = -1;

	}

	/**
	 * Answers {@link InheritTickets}.
	 *
	 * @param accepted whether the successor has stored the jobs of a partial message, or,
	 * in answer to the last message, holds the tickets now
	 */
	record InheritAnswer(boolean accepted) implements PeerMessage {
	}

	/**
	 * Sends the answers of finished jobs to the host that holds their tickets, so that
	 * they remain available after the sender stops, or to an issuer that was unreachable
	 * for a while and whose jobs were answered by the sender in its place.
	 *
	 * @param tickets the finished jobs with their answers
	 */
	record CloseTickets(List<ClosedTicket> tickets) implements PeerMessage {
	}

	/**
	 * Checks that the connection is alive. The transport answers it with {@link Pong}.
	 */
	record Ping() implements PeerMessage {
	}

	/**
	 * Answers {@link Ping}.
	 */
	record Pong() implements PeerMessage {
	}

	/**
	 * Answers a request that was not handled or whose handler failed.
	 *
	 * @param code one of the codes of {@link PeerErrorCodes} or of the handler
	 * @param message the details for people
	 */
	record ErrorAnswer(String code, String message) implements PeerMessage {
	}

	/**
	 * Operation that a forwarded request asks for.
	 */
	enum ForwardOperation {

		/** Submit a job. */
		SUBMIT,

		/** Return the state of a job. */
		STATE,

		/** Cancel a job. */
		CANCEL,

		/** Collect the answer of a job whose issuing host is lost. */
		COLLECT,

		/** Issue tickets; the body is that of the request of the caller. */
		ISSUE

	}

	/**
	 * Record of the log of release notes.
	 *
	 * @param offset the offset
	 * @param value the text
	 */
	record RecordEntry(long offset, String value) {
	}

	/**
	 * Submitted job of a transferred ticket, with its answer if it has finished.
	 *
	 * @param ticket the ticket
	 * @param digest the digest of the submitted body
	 * @param status the HTTP status of the answer, or 0 if the job is still running
	 * @param contentType the content type of the answer, empty if the job is still
	 * running
	 * @param body the body of the answer, empty if the job is still running
	 */
	record InheritedJob(String ticket, byte[] digest, int status, String contentType, byte[] body) {
	}

	/**
	 * Answer of a finished job.
	 *
	 * @param ticket the ticket
	 * @param status the HTTP status of the answer
	 * @param contentType the content type of the answer
	 * @param body the body of the answer
	 */
	record ClosedTicket(String ticket, int status, String contentType, byte[] body) {
	}

	/**
	 * Reports to a peer that the sender is alive, its active version, and the state of
	 * the pools that it owns.
	 *
	 * @param versionNumber the active version, or 0 for none
	 * @param leaving whether the sender is about to stop
	 * @param pools the reports on the pools that the sender owns
	 * @param poolsWithReachableOwner the names of the pools that the sender owns, or
	 * whose owner it has recent contact with
	 * @param hasSeenDurableJobs whether the sender has handled or stored durable jobs
	 * @param logReachable whether the log answers the sender
	 * @param intervalMillis the time until the next report to this peer, in milliseconds
	 * @param recipientReachable whether the sender receives the reports of this peer;
	 * {@code false} only if it has received some before
	 * @param drainsOffset the offset of the operators' topic up to which the set of
	 * drained domains is complete, or {@link #DRAINS_UNKNOWN}
	 * @param drainedDomains the names of the drained failure domains that the sender
	 * knows
	 * @param abandonedCalls the numbers of the calls whose jobs the sender has given up
	 * lately and no owner has confirmed to have ended
	 */
	record HostReport(long versionNumber, boolean leaving, List<PoolReport> pools, List<String> poolsWithReachableOwner,
			boolean hasSeenDurableJobs, boolean logReachable, int intervalMillis, boolean recipientReachable,
			long drainsOffset, List<String> drainedDomains, List<Long> abandonedCalls) implements PeerMessage {

		/** The interval between reports to a peer that depends on fast detection. */
		public static final int SHORT_INTERVAL_MILLIS = 125;

		/** The offset of a sender that does not know the drained domains. */
		public static final long DRAINS_UNKNOWN = -1;

	}

	/**
	 * Submits a job to the owner of a pool. The answer is sent when the job has finished.
	 *
	 * @param pool the name of the pool
	 * @param callNumber the number of the call at the sender
	 * @param job the job
	 * @param terms the terms of its queue
	 * @param refusedBy the pool that has refused this copy of the job before, or an empty
	 * string
	 */
	record SubmitJob(String pool, long callNumber, JobSpec job, JobTerms terms,
			String refusedBy) implements PeerMessage {
	}

	/**
	 * Answers {@link SubmitJob}.
	 *
	 * @param outcome the outcome of the job
	 */
	record JobAnswer(JobOutcome outcome) implements PeerMessage {
	}

	/**
	 * Notifies the owner of a pool that no caller waits for a job any more. The answer is
	 * {@link Acknowledged} if the owner had the job and has ended it.
	 *
	 * @param pool the name of the pool
	 * @param callNumber the number of the call that submitted the job
	 * @param jobId the id of the job
	 */
	record CancelJob(String pool, long callNumber, String jobId) implements PeerMessage {
	}

	/**
	 * Requests the active version of the receiver, since the sender has an older one.
	 */
	record FetchVersion() implements PeerMessage {
	}

	/**
	 * Asks the sender of {@link HandOverPools}, once their pools are claimed, whether it
	 * still leaves its jobs to the host that asks. It answers with {@link Acknowledged}
	 * at most once, and then never continues the jobs itself.
	 *
	 * @param offerNumber the number of the offer, as an earlier one may still be claimed
	 */
	record ConfirmHandOver(long offerNumber) implements PeerMessage {
	}

	/**
	 * Sends the active version to a peer, as it was published.
	 *
	 * @param versionNumber the number of the version
	 * @param content the published bytes
	 */
	record PublishedVersion(long versionNumber, byte[] content) implements PeerMessage {
	}

	/**
	 * Asks a peer to assume ownership of the pools of the sender. The answer is
	 * {@link Acknowledged} once the log confirms the new owner and the sender has
	 * answered {@link ConfirmHandOver}; after any other answer the sender keeps
	 * ownership.
	 *
	 * @param pools the names of the pools
	 * @param transfer the endpoints and jobs of the pools
	 * @param offerNumber the number of this attempt, which {@link ConfirmHandOver}
	 * repeats
	 */
	record HandOverPools(List<String> pools, PoolTransfer transfer, long offerNumber) implements PeerMessage {
	}

	/**
	 * Notifies the entry host that submitted jobs that the sender, the new owner of their
	 * pool, will answer them.
	 *
	 * @param callNumbers the numbers of the calls that submitted the jobs
	 */
	record JobsMoved(List<Long> callNumbers) implements PeerMessage {
	}

	/**
	 * Sends the outcome of a moved job to the entry host that submitted it.
	 *
	 * @param callNumber the number of the call that submitted the job
	 * @param outcome the outcome of the job
	 */
	record JobFinished(long callNumber, JobOutcome outcome) implements PeerMessage {
	}

	/**
	 * Confirms that a request has been carried out.
	 */
	record Acknowledged() implements PeerMessage {
	}

	/**
	 * Queries or cancels durable jobs at the owner of their pools.
	 *
	 * @param kind the kind of query
	 * @param jobIdOrQueue the id of the job, or the name of the queue whose waiting jobs
	 * are counted
	 * @param pools the names of the pools that the sender believes the receiver owns
	 */
	record JobQuery(JobQueryKind kind, String jobIdOrQueue, List<String> pools) implements PeerMessage {
	}

	/**
	 * Kind of a query on durable jobs.
	 */
	enum JobQueryKind {

		/** Return the status of a job. */
		STATUS,

		/** Cancel a job; the answer is sent when the log has stored the cancellation. */
		CANCEL,

		/** Count the jobs of a queue of which no task has started. */
		WAITING

	}

	/**
	 * Reports to the owner of a durable job that one of its runs has terminated on an
	 * endpoint that the sender owns. The answer is {@link Acknowledged} once the log has
	 * stored the termination.
	 *
	 * @param reference identifies the termination
	 * @param termination the run and how it terminated
	 */
	record StrayEnd(TerminationId reference, TerminatedRun termination) implements PeerMessage {
	}

	/**
	 * Answers {@link JobQuery}.
	 *
	 * @param complete whether the sender owns the pools and has read all their jobs
	 * @param status the status of the job, or empty if the sender has no such job
	 * @param waitingJobCount the number of waiting jobs
	 */
	record JobQueryAnswer(boolean complete, List<JobStatus> status, int waitingJobCount) implements PeerMessage {
	}

	/**
	 * Tells under which tasks endpoints of the sender were lost, and what has become
	 * known of those endpoints.
	 *
	 * @param losses the losses
	 */
	record TaskLosses(List<TaskLoss> losses) implements PeerMessage {

		/**
		 * Copies the list, so that the record is immutable.
		 */
		public TaskLosses {
			losses = List.copyOf(losses);
		}

	}

	/**
	 * Registers an interactive job that the sender, an owner of pools, is about to run.
	 * The answer is {@link JobRegistered}, or an error if the receiver owns no pools.
	 *
	 * @param registration the copy of the job that the sender has received
	 */
	record RegisterJob(JobRegistration registration) implements PeerMessage {
	}

	/**
	 * Answers {@link RegisterJob}.
	 *
	 * @param pool the pool that runs the job; that of the sender, unless an earlier copy
	 * went to another one
	 * @param scope how much the answer proves
	 */
	record JobRegistered(String pool, RegistrationScope scope) implements PeerMessage {
	}

	/**
	 * Answers {@link SubmitJob} if a copy of the job went to another pool before.
	 *
	 * @param pool the pool that the job goes to
	 */
	record JobPlaced(String pool) implements PeerMessage {
	}

}
