package org.masticwick.daemon.request;

import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.masticwick.core.process.EntryHost;

/**
 * Stores the digest of the submitted body and the answer of one ticket until the ticket
 * expires. It refers to the job only until the job has ended, so that the job's payloads
 * are released then.
 */
public final class JobEntry {

	/**
	 * The digest of a ticket that was closed with an answer before a job was submitted.
	 */
	static final byte[] NO_BODY = {};

	/** The estimated memory of an entry without the body of its answer. */
	private static final long ENTRY_OVERHEAD_BYTES = 320;

	private final byte[] digest;

	private final long expiryEpochMillis;

	private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();

	private final AtomicReference<Job> job = new AtomicReference<>();

	private volatile boolean cancelRequested;

	private final EntryHost runningHost;

	/**
	 * Creates the entry of a ticket whose job has no answer yet.
	 * @param digest the SHA-256 digest of the submitted body, or {@link #NO_BODY}
	 * @param expiryEpochMillis when the ticket expires, in milliseconds since the epoch
	 */
	public JobEntry(byte[] digest, long expiryEpochMillis) {
		this(digest, expiryEpochMillis, null);
	}

	/**
	 * Creates the entry of a ticket whose job may still run on the host that handed the
	 * ticket over.
	 * @param digest the SHA-256 digest of the submitted body, or {@link #NO_BODY}
	 * @param expiryEpochMillis when the ticket expires, in milliseconds since the epoch
	 * @param runningHost that host, or {@code null} if the job runs on this host
	 */
	JobEntry(byte[] digest, long expiryEpochMillis, EntryHost runningHost) {
		this.digest = digest.clone();
		this.expiryEpochMillis = expiryEpochMillis;
		this.runningHost = runningHost;
	}

	/**
	 * Returns the other host that runs the job and will send its answer.
	 * @return the host, or {@code null} if the job runs on this host or has ended
	 */
	EntryHost runningHost() {
		return this.answer.isDone() ? null : this.runningHost;
	}

	/**
	 * Attaches the job that runs on this host; its answer becomes the answer of the
	 * entry.
	 * @param runningJob the job
	 */
	void attachJob(Job runningJob) {
		this.job.set(runningJob);
		runningJob.answer().whenComplete((jobAnswer, ex) -> {
			this.job.set(null);
			this.answer.complete(jobAnswer);
		});
	}

	/**
	 * Completes the entry with an answer that does not come from a job on this host: a
	 * refusal, or the answer of another host. A job that runs on this host is ended with
	 * that answer.
	 * @param jobAnswer the answer
	 * @return {@code true} unless the entry had an answer
	 */
	public boolean complete(HttpAnswer jobAnswer) {
		Job runningJob = this.job.get();
		return (runningJob != null) ? runningJob.completeWith(jobAnswer) : this.answer.complete(jobAnswer);
	}

	/**
	 * Records that the caller cancelled the job. The job may not have been attached yet;
	 * whoever attaches it must check {@link #cancelRequested()}.
	 */
	void requestCancel() {
		this.cancelRequested = true;
	}

	/**
	 * Returns whether the caller cancelled the job.
	 * @return {@code true} after {@link #requestCancel()}
	 */
	boolean cancelRequested() {
		return this.cancelRequested;
	}

	/**
	 * Returns the job while it runs on this host.
	 * @return the job, or {@code null} if none is attached or it has ended
	 */
	Job job() {
		return this.job.get();
	}

	/**
	 * Returns whether a body equals the submitted one. Every body does if the ticket was
	 * closed before a job was submitted.
	 * @param bodyDigest the SHA-256 digest of the body
	 * @return {@code true} if the body is accepted as the same
	 */
	public boolean matchesBody(byte[] bodyDigest) {
		return this.digest.length == 0 || MessageDigest.isEqual(this.digest, bodyDigest);
	}

	/**
	 * Returns the digest of the submitted body.
	 * @return a copy of the digest
	 */
	public byte[] digest() {
		return this.digest.clone();
	}

	/**
	 * Returns the answer of the job.
	 * @return the answer, completed exactly once when the job ends
	 */
	public CompletableFuture<HttpAnswer> answer() {
		return this.answer;
	}

	/**
	 * Returns how much memory the entry occupies once its job has ended. Call it only
	 * when the answer is complete; otherwise it blocks.
	 * @return the estimate in bytes
	 */
	long estimatedBytes() {
		return ENTRY_OVERHEAD_BYTES + this.answer.join().body().length;
	}

	/**
	 * Returns when the ticket expires.
	 * @return milliseconds since the epoch by the clock of the ticket's issuer
	 */
	public long expiryEpochMillis() {
		return this.expiryEpochMillis;
	}

}
