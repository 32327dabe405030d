package org.masticwick.cli.request;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.HttpUrl;

import org.masticwick.cli.connection.HostUnreachableException;
import org.masticwick.cli.connection.HttpAnswer;
import org.masticwick.core.process.RunState;

/**
 * Carries one job under one ticket to its answer, over as many hosts as it takes.
 */
final class Submission {

	private final JobClient client;

	private final Ticket ticket;

	private final byte[] body;

	private final long deadlineNanos;

	private final CompletableFuture<JobAnswer> result = new CompletableFuture<>();

	private HttpUrl host;

	private int attemptCount;

	private boolean connected;

	Submission(JobClient client, Ticket ticket, HttpUrl first, byte[] body, Duration limit) {
		this.client = client;
		this.ticket = ticket;
		this.host = first;
		this.body = body;
		this.deadlineNanos = System.nanoTime() + limit.toNanos();
	}

	CompletableFuture<JobAnswer> start() {
		put();
		return this.result;
	}

	private void put() {
		this.attemptCount++;
		Duration wait = waitTime();
		HttpUrl url = this.client.jobUrl(this.host, this.ticket.text(), wait);
		this.client.caller(this.host)
			.send("PUT", url, this.body, wait.plus(this.client.options().silenceMargin()))
			.whenComplete(this::handle);
	}

	private void poll() {
		Duration wait = waitTime();
		HttpUrl url = this.client.jobUrl(this.host, this.ticket.text(), wait);
		this.client.caller(this.host)
			.get(url, wait.plus(this.client.options().silenceMargin()))
			.whenComplete(this::handle);
	}

	private void handle(HttpAnswer answer, Throwable error) {
		try {
			if (error != null) {
				handleLoss(error);
			}
			else {
				this.connected = true;
				handleAnswer(AnswerReader.job(this.ticket.text(), answer));
			}
		}
		catch (RuntimeException ex) {
			this.result.completeExceptionally(ex);
		}
	}

	private void handleLoss(Throwable error) {
		this.client.counters().countLostConnection();
		this.client.forgetTicketsOf(this.host);
		if (!(error instanceof HostUnreachableException unreachable) || unreachable.connected()) {
			this.connected = true;
		}
		RunState runState = this.connected ? RunState.UNKNOWN : RunState.NOT_RUN;
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

	private void resubmit(JobAnswer last, long atLeastMillis) {
		long delayMillis = this.client.backoffMillis(this.attemptCount, atLeastMillis);
		if (this.attemptCount >= this.client.options().attemptCountMax() || delayMillis >= remainingMillis()) {
			this.result.complete(last);
			return;
		}
		this.client.counters().countResubmission();
		this.host = this.client.hostAfter(this.host);
		this.client.after(delayMillis, this::put);
	}

	private Duration waitTime() {
		long pollMillis = this.client.options().pollInterval().toMillis();
		return Duration.ofMillis(Math.max(1, Math.min(pollMillis, remainingMillis())));
	}

	private long remainingMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - System.nanoTime());
	}

}
