package org.masticwick.daemon.request;

import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.masticwick.core.process.EntryHost;

/**
 * Remembers one submitted ticket until it expires: the digest of its body and its one
 * answer. What the job itself holds is let go when it has ended.
 */
public final class JobEntry {

	/** Stands for the digest of a ticket that was sealed before its job came. */
	static final byte[] NO_BODY = {};

	/** Estimates what an entry takes besides the body of its answer. */
	private static final long ENTRY_BYTES = 320;

	private final byte[] digest;

	private final long expiryEpochMillis;

	private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();

	private final AtomicReference<Job> job = new AtomicReference<>();

	private volatile boolean cancelWanted;

	private final EntryHost runsAt;

	/**
	 * Creates the entry of a ticket whose job has no answer yet.
	 * @param digest the digest of the submitted body
	 * @param expiryEpochMillis when the ticket expires, in milliseconds since the epoch
	 */
	public JobEntry(byte[] digest, long expiryEpochMillis) {
		this(digest, expiryEpochMillis, null);
	}

	/**
	 * Creates the entry of a ticket whose job still runs on the host that handed it over.
	 * @param digest the digest of the submitted body
	 * @param expiryEpochMillis when the ticket expires, in milliseconds since the epoch
	 * @param runsAt that host, or {@code null}
	 */
	JobEntry(byte[] digest, long expiryEpochMillis, EntryHost runsAt) {
		this.digest = digest.clone();
		this.expiryEpochMillis = expiryEpochMillis;
		this.runsAt = runsAt;
	}

	/**
	 * Returns the host that runs the job and will tell its answer.
	 * @return the host, or {@code null} if the job runs here or has ended
	 */
	EntryHost runsAt() {
		return this.answer.isDone() ? null : this.runsAt;
	}

	/**
	 * Ties the entry to the job that runs here.
	 * @param running the job
	 */
	void run(Job running) {
		this.job.set(running);
		running.answer().whenComplete((given, ex) -> {
			this.job.set(null);
			this.answer.complete(given);
		});
	}

	/**
	 * Gives the answer without a job: a refusal, or an answer that another host told.
	 * @param given the answer
	 * @return {@code true} if there was none yet
	 */
	public boolean complete(HttpAnswer given) {
		Job running = this.job.get();
		return (running != null) ? running.completeWith(given) : this.answer.complete(given);
	}

	/**
	 * Notes that the caller wants the job cancelled, which may not have begun to run yet.
	 */
	void wantCancel() {
		this.cancelWanted = true;
	}

	/**
	 * Returns whether the caller wants the job cancelled.
	 * @return {@code true} if it does
	 */
	boolean cancelWanted() {
		return this.cancelWanted;
	}

	/**
	 * Returns the job while it runs on this host.
	 * @return the job, or {@code null}
	 */
	Job job() {
		return this.job.get();
	}

	/**
	 * Returns whether a body is the one that was submitted. Any body is, if the ticket
	 * was sealed before its job came.
	 * @param other the digest of the body
	 * @return {@code true} if it is
	 */
	public boolean matchesBody(byte[] other) {
		return this.digest.length == 0 || MessageDigest.isEqual(this.digest, other);
	}

	/**
	 * Returns the digest of the submitted body.
	 * @return a copy of the digest
	 */
	public byte[] digest() {
		return this.digest.clone();
	}

	/**
	 * Returns the answer, which is given exactly once.
	 * @return the answer to come
	 */
	public CompletableFuture<HttpAnswer> answer() {
		return this.answer;
	}

	/**
	 * Returns how much memory an entry whose job has ended takes.
	 * @return the estimate in bytes
	 */
	long weightBytes() {
		return ENTRY_BYTES + this.answer.join().body().length;
	}

	/**
	 * Returns when the ticket expires.
	 * @return milliseconds since the epoch by the clock of the ticket's home
	 */
	public long expiryEpochMillis() {
		return this.expiryEpochMillis;
	}

}
