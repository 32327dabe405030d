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
 * Serves the jobs whose tickets this host holds.
 */
public final class JobService {

	private static final Logger logger = LoggerFactory.getLogger(JobService.class);

	private static final long ANSWER_MEMORY_RETRY_AFTER_MILLIS = 5_000;

	/** Shared by all refused tickets, so that each of them occupies little memory. */
	private static final HttpAnswer ANSWER_MEMORY_FULL = Answers.problem(ErrorCode.OVERLOADED,
			"The memory for stored answers is full; retry after older tickets have expired",
			ANSWER_MEMORY_RETRY_AFTER_MILLIS);

	private final JobRequestReader reader;

	private final Dispatcher dispatcher;

	private final BooleanSupplier versionAvailable;

	private final BooleanSupplier answerMemoryFull;

	private final TimeSource time;

	/**
	 * Creates the service.
	 * @param reader parses and validates submissions
	 * @param dispatcher dispatches the tasks of jobs
	 * @param versionAvailable whether this host has loaded a version of the site
	 * @param answerMemoryFull whether the memory for stored answers is full
	 * @param time the clock
	 */
	public JobService(JobRequestReader reader, Dispatcher dispatcher, BooleanSupplier versionAvailable,
			BooleanSupplier answerMemoryFull, TimeSource time) {
		this.reader = reader;
		this.dispatcher = dispatcher;
		this.versionAvailable = versionAvailable;
		this.answerMemoryFull = answerMemoryFull;
		this.time = time;
	}

	/**
	 * Submits a job, or attaches to the existing job if the ticket was submitted before.
	 * @param registry the registry that holds the ticket
	 * @param ticket the ticket
	 * @param body the submitted body
	 * @return the answer, completed when the job ends
	 * @throws NotHolderException if the registry was handed over and has no entry for the
	 * ticket
	 * @throws RequestException if the ticket or the body is invalid, or the ticket was
	 * submitted with a different body
	 */
	CompletableFuture<HttpAnswer> submit(TicketRegistry registry, Ticket ticket, byte[] body) {
		registry.ticketFactory().verify(ticket);
		JobRequest request = this.reader.read(body);
		byte[] digest = BodyDigest.of(body);
		TicketRegistry.Claim claim = claim(registry, ticket, digest);
		JobEntry entry = claim.entry();
		if (!claim.created()) {
			RequestLog.event(logger, ticket)
				.addKeyValue("ended", entry.answer().isDone())
				.log("Ticket submitted again; attaching the caller to the existing job");
			return attach(entry, digest);
		}
		if (!this.versionAvailable.getAsBoolean()) {
			entry.complete(Answers.problem(ErrorCode.NO_VERSION, "The host has no version of the site yet"));
			return entry.answer();
		}
		if (this.answerMemoryFull.getAsBoolean()) {
			entry.complete(ANSWER_MEMORY_FULL);
			return entry.answer();
		}
		RequestLog.event(logger, ticket)
			.addKeyValue("service", request.service())
			.addKeyValue("team", request.team())
			.addKeyValue("urgent", request.urgent())
			.addKeyValue("idempotent", request.idempotent())
			.addKeyValue("tasks", request.tasks().size())
			.log("First submission under the ticket; handing the job to the scheduler");
		dispatch(entry, new Job(ticket, digest, request, deadlineNanos(request)));
		return entry.answer();
	}

	private static TicketRegistry.Claim claim(TicketRegistry registry, Ticket ticket, byte[] digest) {
		return registry.claim(ticket, digest)
			.orElseThrow(
					() -> new NotHolderException("This host handed over the ticket and can start no job under it"));
	}

	private long deadlineNanos(JobRequest request) {
		return this.time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis());
	}

	private void dispatch(JobEntry entry, Job job) {
		entry.attachJob(job);
		this.dispatcher.submit(job);
		if (entry.cancelRequested()) {
			this.dispatcher.cancel(job);
		}
	}

	private static CompletableFuture<HttpAnswer> attach(JobEntry entry, byte[] digest) {
		if (!entry.matchesBody(digest)) {
			throw new RequestException(ErrorCode.TICKET_REUSED,
					"The ticket was submitted before with a different body");
		}
		return entry.answer();
	}

	/**
	 * Returns the answer of a submitted job.
	 * @param registry the registry that holds the ticket
	 * @param ticket the ticket
	 * @return the answer, completed when the job ends
	 * @throws RequestException if the ticket has expired or was not submitted
	 */
	CompletableFuture<HttpAnswer> state(TicketRegistry registry, Ticket ticket) {
		registry.ticketFactory().verify(ticket);
		return registry.find(ticket).answer();
	}

	/**
	 * Cancels a job. A job that has ended keeps its answer. A ticket that was not
	 * submitted is closed with an answer, so that a submission still in transit starts
	 * nothing.
	 * @param registry the registry that holds the ticket
	 * @param ticket the ticket
	 * @return the answer, completed when the job ends
	 * @throws NotHolderException if the registry was handed over and has no entry for the
	 * ticket
	 * @throws RequestException if the ticket has expired
	 */
	CompletableFuture<HttpAnswer> cancel(TicketRegistry registry, Ticket ticket) {
		registry.ticketFactory().verify(ticket);
		RequestLog.event(logger, ticket).log("Cancel request received; cancelling the job unless it has ended");
		TicketRegistry.Claim claim = claim(registry, ticket, JobEntry.NO_BODY);
		JobEntry entry = claim.entry();
		if (claim.created()) {
			entry.complete(Answers.problem(ErrorCode.CANCELLED_NOT_RUN,
					"The ticket was cancelled before a job was submitted under it"));
			return entry.answer();
		}
		entry.requestCancel();
		Job job = entry.job();
		if (job != null) {
			this.dispatcher.cancel(job);
		}
		return entry.answer();
	}

	/**
	 * Returns the host that still runs the job of a ticket that it handed over to this
	 * host.
	 * @param registry the registry that holds the ticket
	 * @param ticket the ticket
	 * @return the host, or {@code null} if the job runs here or has ended
	 */
	EntryHost runningHost(TicketRegistry registry, Ticket ticket) {
		return registry.find(ticket).runningHost();
	}

	/**
	 * Completes a job with an answer that was determined elsewhere, unless the job has an
	 * answer.
	 * @param registry the registry that holds the ticket
	 * @param ticket the ticket
	 * @param answer the answer
	 * @throws RequestException if the ticket has expired or was not submitted
	 */
	void completeWith(TicketRegistry registry, Ticket ticket, HttpAnswer answer) {
		registry.find(ticket).complete(answer);
	}

}
