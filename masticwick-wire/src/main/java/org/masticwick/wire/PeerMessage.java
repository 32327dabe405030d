package org.masticwick.wire;

import java.util.List;
import java.util.Map;

import org.masticwick.core.connection.HostSummary;
import org.masticwick.core.connection.PeerStatus;
import org.masticwick.core.connection.ServiceLoad;
import org.masticwick.core.pool.JobOutcome;
import org.masticwick.core.pool.JobSpec;
import org.masticwick.core.pool.JobStatus;
import org.masticwick.core.pool.JobTerms;
import org.masticwick.core.pool.PoolReport;
import org.masticwick.core.pool.PoolTransfer;
import org.masticwick.core.pool.TerminatedRun;
import org.masticwick.core.pool.TerminationId;
import org.masticwick.core.process.EntryHost;

/**
 * Message between two entry hosts. Byte arrays are not copied; who gets a message must
 * not change them.
 */
public sealed interface PeerMessage {

	/**
	 * Opens a connection; each side sends one before anything else.
	 *
	 * @param sender who sends
	 * @param protocolVersion the newest version of the protocol that the sender speaks
	 * @param minProtocolVersion the oldest version that the sender understands
	 */
	record Hello(EntryHost sender, int protocolVersion, int minProtocolVersion) implements PeerMessage {
	}

	/**
	 * Tells peers of the same failure domain that the sender lives, and how it is.
	 *
	 * @param sender who sends; not written, since the receiving side knows it from
	 * {@link Hello}
	 * @param sequence a number that grows with each heartbeat of the incarnation
	 * @param loadComplete whether the load replaces what was told before; if not, it
	 * holds changed entries only, and an entry of zeros takes one away
	 * @param status what the sender says of itself
	 */
	record Heartbeat(EntryHost sender, long sequence, boolean loadComplete, PeerStatus status) implements PeerMessage {
	}

	/**
	 * Tells another failure domain of the entry hosts of one domain.
	 *
	 * @param domain the failure domain that the hosts belong to
	 * @param services the load of the domain by name of service
	 * @param hosts the hosts
	 */
	record DomainSummary(String domain, Map<String, ServiceLoad> services,
			List<HostSummary> hosts) implements PeerMessage {
	}

	/**
	 * Asks a peer for records of the log of release notes.
	 *
	 * @param fromOffset the first offset wanted
	 * @param versionNumber the version in force on the asking host
	 * @param limit the greatest number of records to send
	 */
	record FetchRecords(long fromOffset, long versionNumber, int limit) implements PeerMessage {
	}

	/**
	 * Answers {@link FetchRecords}.
	 *
	 * @param records the records, in the order of their offsets
	 * @param snapshot the accepted state, or {@code null} if the records suffice
	 * @param snapshotOffset the offset that the snapshot stands for
	 * @param fromOffset the offset of the first record, also if there are none
	 * @param fromHash the hash of the history before that offset
	 */
	record Records(List<RecordEntry> records, String snapshot, long snapshotOffset, long fromOffset,
			String fromHash) implements PeerMessage {

		/**
		 * Creates an answer that does not tell where its records begin.
		 * @param records the records, in the order of their offsets
		 * @param snapshot the accepted state, or {@code null} if the records suffice
		 * @param snapshotOffset the offset that the snapshot stands for
		 */
		public Records(List<RecordEntry> records, String snapshot, long snapshotOffset) {
			this(records, snapshot, snapshotOffset, 0, "");
		}

	}

	/**
	 * Passes a request of a caller to the host that holds its ticket. Calls may last as
	 * long as the caller waits.
	 *
	 * @param operation what the caller asks for
	 * @param ticket the ticket
	 * @param body the body of the request, empty if there is none
	 * @param waitMillis how long to wait for the end of the job, in milliseconds
	 */
	record Forward(ForwardOperation operation, String ticket, byte[] body, long waitMillis) implements PeerMessage {
	}

	/**
	 * Answers {@link Forward} with what the caller is to receive.
	 *
	 * @param status the HTTP status
	 * @param contentType the type of the body
	 * @param body the body
	 * @param retryAfterMillis when to come back, in milliseconds, or -1 for no such hint
	 */
	record ForwardAnswer(int status, String contentType, byte[] body, long retryAfterMillis) implements PeerMessage {
	}

	/**
	 * Passes the unexpired tickets of a stopping host to its heir. Many jobs come in
	 * parts before; only the last message, which has the key, passes the tickets on.
	 *
	 * @param from the host that issued the tickets
	 * @param holder the stopping host, which runs the open jobs to their end
	 * @param homeEpochMillis the time by the clock of that host, in milliseconds since
	 * the epoch
	 * @param nextSequence the first sequence number that no ticket was issued for
	 * @param key the key of the integrity check of the tickets
	 * @param expiresAtEpochMillis when the last of the tickets expires, in milliseconds
	 * since the epoch
	 * @param jobs the submitted jobs, or some of them
	 * @param jobCount how many jobs there are in all messages, or {@value #PART} in a
	 * part
	 */
	record InheritTickets(EntryHost from, EntryHost holder, long homeEpochMillis, long nextSequence, byte[] key,
			long expiresAtEpochMillis, List<InheritedJob> jobs, int jobCount) implements PeerMessage {

		/** Stands for the count of jobs in all messages but the last. */
		public static final int PART = -1;

	}

	/**
	 * Answers {@link InheritTickets}.
	 *
	 * @param accepted whether the tickets are now the heir's
	 */
	record InheritAnswer(boolean accepted) implements PeerMessage {
	}

	/**
	 * Tells of jobs that have ended, so that their answer outlives the sender.
	 *
	 * @param tickets the jobs
	 */
	record CloseTickets(List<ClosedTicket> tickets) implements PeerMessage {
	}

	/**
	 * Asks whether the connection is alive; the transport answers it.
	 */
	record Ping() implements PeerMessage {
	}

	/**
	 * Answers {@link Ping}.
	 */
	record Pong() implements PeerMessage {
	}

	/**
	 * Says that a request was not handled.
	 *
	 * @param code one of the codes of {@link PeerErrorCodes} or of the handler
	 * @param message the details for people
	 */
	record ErrorAnswer(String code, String message) implements PeerMessage {
	}

	/**
	 * Names what a forwarded request asks for.
	 */
	enum ForwardOperation {

		/** Submit a job. */
		SUBMIT,

		/** Tell the state of a job. */
		STATE,

		/** Cancel a job. */
		CANCEL,

		/** Collect the answer of a job whose home is lost. */
		COLLECT,

		/** Issue tickets; the body is that of the caller's request. */
		ISSUE

	}

	/**
	 * Holds one record of the log of release notes.
	 *
	 * @param offset the offset
	 * @param value the text
	 */
	record RecordEntry(long offset, String value) {
	}

	/**
	 * Holds a job that has ended, with what its caller is to be told.
	 *
	 * @param ticket the ticket
	 * @param digest the digest of the submitted body
	 * @param status the HTTP status of the answer
	 * @param contentType the type of the answer
	 * @param body the answer
	 */
	record InheritedJob(String ticket, byte[] digest, int status, String contentType, byte[] body) {
	}

	/**
	 * Holds the answer of a job that has ended.
	 *
	 * @param ticket the ticket
	 * @param status the HTTP status of the answer
	 * @param contentType the type of the answer
	 * @param body the answer
	 */
	record ClosedTicket(String ticket, int status, String contentType, byte[] body) {
	}

	/**
	 * Tells all peers that the sender lives, which version it has in force, and how the
	 * pools are that it owns.
	 *
	 * @param versionNumber the version in force, or 0 for none
	 * @param leaving whether the sender is about to stop
	 * @param pools the pools that it owns
	 * @param heardOwners the pools whose owner the sender hears
	 * @param knowsDurableJobs whether the sender has had to do with durable jobs
	 * @param reachesLog whether the shared log answers the sender
	 */
	record HostReport(long versionNumber, boolean leaving, List<PoolReport> pools, List<String> heardOwners,
			boolean knowsDurableJobs, boolean reachesLog) implements PeerMessage {
	}

	/**
	 * Asks the owner of a pool to run a job. The answer comes when the job has ended.
	 *
	 * @param pool the pool
	 * @param callNumber the number of the call on the sender
	 * @param job the job
	 * @param terms the terms of its queue
	 */
	record SubmitJob(String pool, long callNumber, JobSpec job, JobTerms terms) implements PeerMessage {
	}

	/**
	 * Answers {@link SubmitJob}.
	 *
	 * @param outcome what became of the job
	 */
	record JobAnswer(JobOutcome outcome) implements PeerMessage {
	}

	/**
	 * Tells the owner of a pool that nobody waits for a job any more.
	 *
	 * @param pool the pool
	 * @param callNumber the number of the call that submitted it
	 * @param jobId the job
	 */
	record CancelJob(String pool, long callNumber, String jobId) implements PeerMessage {
	}

	/**
	 * Asks for the version in force at the receiver, as the sender has an older one.
	 */
	record FetchVersion() implements PeerMessage {
	}

	/**
	 * Brings a peer the version in force, as it was published.
	 *
	 * @param versionNumber the version
	 * @param content the published bytes
	 */
	record PublishedVersion(long versionNumber, byte[] content) implements PeerMessage {
	}

	/**
	 * Asks a peer to own the pools of the sender from now on. Answered with
	 * {@link Acknowledged} once the shared log says so; with anything else, the sender
	 * goes on.
	 *
	 * @param pools the names of the pools
	 * @param transfer their endpoints and jobs
	 */
	record HandOverPools(List<String> pools, PoolTransfer transfer) implements PeerMessage {
	}

	/**
	 * Tells the entry host of callers that the sender answers some of its jobs from now
	 * on.
	 *
	 * @param callNumbers the numbers of the calls that submitted them
	 */
	record JobsMoved(List<Long> callNumbers) implements PeerMessage {
	}

	/**
	 * Brings the entry host of a caller the answer on a job that has moved.
	 *
	 * @param callNumber the number of the call that submitted it
	 * @param outcome what became of the job
	 */
	record JobFinished(long callNumber, JobOutcome outcome) implements PeerMessage {
	}

	/**
	 * Says that what a call asked for is done.
	 */
	record Acknowledged() implements PeerMessage {
	}

	/**
	 * Asks the owner of pools about its durable jobs.
	 *
	 * @param kind what to tell or do
	 * @param name the job, or the queue whose waiting jobs are counted
	 * @param pools the pools that the sender believes to be owned by the receiver
	 */
	record JobQuery(JobQueryKind kind, String name, List<String> pools) implements PeerMessage {
	}

	/**
	 * What is asked about durable jobs.
	 */
	enum JobQueryKind {

		/** Tell the state of a job. */
		STATUS,

		/** Cancel a job; the answer comes when the shared log has it. */
		CANCEL,

		/** Count the jobs of a queue of which no task has started. */
		WAITING

	}

	/**
	 * Tells the owner of a durable job that a run of it has ended on an endpoint that the
	 * sender owns. It is acknowledged when the shared log has it.
	 *
	 * @param end the end
	 * @param ended what ended and how
	 */
	record StrayEnd(TerminationId end, TerminatedRun ended) implements PeerMessage {
	}

	/**
	 * Answers a question about durable jobs.
	 *
	 * @param complete whether the sender owns the pools and knows all their jobs
	 * @param found the state of the job, or empty if the sender does not know it
	 * @param count how many jobs wait
	 */
	record JobQueryAnswer(boolean complete, List<JobStatus> found, int count) implements PeerMessage {
	}

}
