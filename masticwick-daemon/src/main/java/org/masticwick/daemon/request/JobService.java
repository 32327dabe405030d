package org.masticwick.daemon.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.process.EntryHost;
import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.process.TimeSource;
import org.masticwick.core.request.JobRequest;
import org.masticwick.core.request.Ticket;

/**
 * Serves the jobs whose tickets this process holds.
 */
public final class JobService {

	private static final Logger logger = LoggerFactory.getLogger(JobService.class);

	private static final long FULL_RETRY_MILLIS = 5_000;

	/** One object for all tickets, so that a refused ticket takes little memory. */
	private static final HttpAnswer FULL = Answers.problem(ErrorCode.OVERLOADED,
			"The memory for answers is used up until tickets expire", FULL_RETRY_MILLIS);

	private final JobRequestReader reader;

	private final Dispatcher dispatcher;

	private final BooleanSupplier ready;

	private final BooleanSupplier full;

	private final TimeSource time;

	/**
	 * Creates the service.
	 * @param reader reads submissions
	 * @param dispatcher runs jobs
	 * @param ready whether a version of the site is known
	 * @param full whether the memory for answers is used up
	 * @param time the clock
	 */
	public JobService(JobRequestReader reader, Dispatcher dispatcher, BooleanSupplier ready, BooleanSupplier full,
			TimeSource time) {
		this.reader = reader;
		this.dispatcher = dispatcher;
		this.ready = ready;
		this.full = full;
		this.time = time;
	}

	/**
	 * Submits a job, or attaches to it if it was submitted before.
	 * @param book the book that holds the ticket
	 * @param ticket the ticket
	 * @param body the body
	 * @return the answer to come
	 * @throws RequestException if the submission can't be taken
	 */
	CompletableFuture<HttpAnswer> submit(TicketRegistry book, Ticket ticket, byte[] body) {
		book.mint().verify(ticket);
		JobRequest request = this.reader.read(body);
		byte[] digest = BodyDigest.of(body);
		TicketRegistry.Claim claim = claim(book, ticket, digest);
		JobEntry entry = claim.entry();
		if (!claim.created()) {
			RequestLog.event(logger, ticket).addKeyValue("ended", entry.answer().isDone()).log("Job attached to");
			return attach(entry, digest);
		}
		if (!this.ready.getAsBoolean()) {
			entry.complete(Answers.problem(ErrorCode.NO_VERSION, "The host has no version of the site yet"));
			return entry.answer();
		}
		if (this.full.getAsBoolean()) {
			entry.complete(FULL);
			return entry.answer();
		}
		RequestLog.event(logger, ticket)
			.addKeyValue("service", request.service())
			.addKeyValue("team", request.team())
			.addKeyValue("urgent", request.urgent())
			.addKeyValue("idempotent", request.idempotent())
			.addKeyValue("tasks", request.tasks().size())
			.log("Job submitted");
		run(entry, new Job(ticket, digest, request, deadlineNanos(request)));
		return entry.answer();
	}

	private static TicketRegistry.Claim claim(TicketRegistry book, Ticket ticket, byte[] digest) {
		return book.claim(ticket, digest)
			.orElseThrow(() -> new NotHolderException("The tickets of this host were handed over"));
	}

	private long deadlineNanos(JobRequest request) {
		return this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
	}

	private void run(JobEntry entry, Job job) {
		entry.run(job);
		this.dispatcher.submit(job);
		if (entry.cancelWanted()) {
			this.dispatcher.cancel(job);
		}
	}

	private static CompletableFuture<HttpAnswer> attach(JobEntry entry, byte[] digest) {
		if (!entry.matchesBody(digest)) {
			throw new RequestException(ErrorCode.TICKET_REUSED, "The ticket was submitted with another body");
		}
		return entry.answer();
	}

	/**
	 * Returns the answer of a submitted job.
	 * @param book the book that holds the ticket
	 * @param ticket the ticket
	 * @return the answer to come
	 * @throws RequestException if the ticket has expired or was not submitted
	 */
	CompletableFuture<HttpAnswer> state(TicketRegistry book, Ticket ticket) {
		book.mint().verify(ticket);
		return book.find(ticket).answer();
	}

	/**
	 * Cancels a job. One that has ended keeps its answer; a ticket that was not submitted
	 * is sealed, so that a submission still on its way does not run.
	 * @param book the book that holds the ticket
	 * @param ticket the ticket
	 * @return the answer to come
	 * @throws RequestException if the ticket has expired
	 */
	CompletableFuture<HttpAnswer> cancel(TicketRegistry book, Ticket ticket) {
		book.mint().verify(ticket);
		RequestLog.event(logger, ticket).log("Job cancelled by its caller");
		TicketRegistry.Claim claim = claim(book, ticket, JobEntry.NO_BODY);
		JobEntry entry = claim.entry();
		if (claim.created()) {
			entry
				.complete(Answers.problem(ErrorCode.CANCELLED_NOT_RUN, "The ticket was cancelled before its job came"));
			return entry.answer();
		}
		entry.wantCancel();
		Job job = entry.job();
		if (job != null) {
			this.dispatcher.cancel(job);
		}
		return entry.answer();
	}

	/**
	 * Returns the host that runs a job whose tickets it handed over.
	 * @param book the book that holds the ticket
	 * @param ticket the ticket
	 * @return the host, or {@code null} if the job runs here or has ended
	 */
	EntryHost runsAt(TicketRegistry book, Ticket ticket) {
		return book.find(ticket).runsAt();
	}

	/**
	 * Gives a job the answer that another host found for it, unless it has one.
	 * @param book the book that holds the ticket
	 * @param ticket the ticket
	 * @param answer the answer
	 */
	void adopt(TicketRegistry book, Ticket ticket, HttpAnswer answer) {
		book.find(ticket).complete(answer);
	}

}
