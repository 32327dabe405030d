package org.masticwick.cli.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.HttpUrl;

import org.masticwick.cli.connection.HostUnreachableException;
import org.masticwick.cli.connection.HttpResponse;
import org.masticwick.core.process.RunState;

/**
 * Submits one job under one ticket and polls for its answer. After a lost connection, or
 * an unknown outcome with a retry delay, it resubmits the job to the next host, until the
 * limit of attempts or of time is reached.
 */
final class Submission {

	private final JobClient client;

	private final Ticket ticket;

	private final byte[] body;

	private final long deadlineNanos;

	private final CompletableFuture<JobAnswer> result = new CompletableFuture<>();

	private HttpUrl host;

	private int attemptCount;

	private boolean possiblyDelivered;

	Submission(JobClient client, Ticket ticket, HttpUrl firstHost, byte[] body, Duration timeout) {
		this.client = client;
		this.ticket = ticket;
		this.host = firstHost;
		this.body = body;
		this.deadlineNanos = System.nanoTime() + timeout.toNanos();
	}

	CompletableFuture<JobAnswer> start() {
		submit();
		return this.result;
	}

	private void submit() {
		this.attemptCount++;
		Duration wait = pollWait();
		HttpUrl url = this.client.jobUrl(this.host, this.ticket.text(), wait);
		this.client.httpClient(this.host)
			.sendJson("PUT", url, this.body, wait.plus(this.client.options().responseMargin()))
			.whenComplete(this::handleResponse);
	}

	private void poll() {
		Duration wait = pollWait();
		HttpUrl url = this.client.jobUrl(this.host, this.ticket.text(), wait);
		this.client.httpClient(this.host)
			.get(url, wait.plus(this.client.options().responseMargin()))
			.whenComplete(this::handleResponse);
	}

	private void handleResponse(HttpResponse response, Throwable error) {
		try {
			if (error != null) {
				handleFailure(error);
			}
			else {
				this.possiblyDelivered = true;
				handleAnswer(ResponseReader.readJobAnswer(this.ticket.text(), response));
			}
		}
		catch (RuntimeException ex) {
			this.result.completeExceptionally(ex);
		}
	}

	private void handleFailure(Throwable error) {
		this.client.counters().countLostConnection();
		this.client.discardTickets(this.host);
		if (!(error instanceof HostUnreachableException unreachable) || unreachable.possiblyDelivered()) {
			this.possiblyDelivered = true;
		}
		RunState runState = this.possiblyDelivered ? RunState.UNKNOWN : RunState.NOT_RUN;
		Problem problem = Problem.of(Problem.UNREACHABLE, runState, error.getMessage());
		resubmit(new JobAnswer.Unknown(this.ticket.text(), problem), 0);
	}

	private void handleAnswer(JobAnswer answer) {
		if (answer instanceof JobAnswer.Running && remainingMillis() > 0) {
			poll();
		}
		else if (answer instanceof JobAnswer.Unknown unknown && unknown.problem().retryAfterMillis() > 0) {
			resubmit(answer, unknown.problem().retryAfterMillis());
		}
		else {
			this.result.complete(answer);
		}
	}

	private void resubmit(JobAnswer lastAnswer, long minDelayMillis) {
		long delayMillis = this.client.backoffMillis(this.attemptCount, minDelayMillis);
		if (this.attemptCount >= this.client.options().attemptCountMax() || delayMillis >= remainingMillis()) {
			this.result.complete(lastAnswer);
			return;
		}
		this.client.counters().countResubmission();
		this.host = this.client.nextHost(this.host);
		this.client.schedule(delayMillis, this::submit);
	}

	private Duration pollWait() {
		long pollMillis = this.client.options().pollInterval().toMillis();
		return Duration.ofMillis(Math.max(1, Math.min(pollMillis, remainingMillis())));
	}

	private long remainingMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - System.nanoTime());
	}

}
