package org.masticwick.daemon.request;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.StartOutcome;
import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient;
import org.masticwick.daemon.connection.EndpointClient.LookupReply;
import org.masticwick.daemon.connection.EndpointClient.PendingPost;
import org.masticwick.daemon.connection.EndpointClient.PostReply;
import org.masticwick.daemon.connection.EndpointClient.TaskPost;

/**
 * Manages one run of a task until it terminates: posts the task to its endpoint once, and
 * looks it up by its id if no reply arrives in time or if the reply leaves open whether
 * the task ran. It never posts the task again, because that could run it twice. A post
 * whose payload is still unwritten then is withdrawn instead, and the run ends as not
 * started.
 */
final class TaskRun {

	private static final double LOOKUP_DELAY_GROWTH = 1.5;

	private static final long UNCERTAIN_REPLY_LOOKUP_DELAY_MILLIS = 20;

	private static final int MAX_UNREACHABLE_COUNT = 4;

	private final EndpointClient client;

	private final ScheduledExecutorService timer;

	private final TaskPost post;

	private final Options options;

	private final Runnable onLookup;

	private final Consumer<Result> onTermination;

	private final AtomicBoolean terminated = new AtomicBoolean();

	private volatile PendingPost pendingPost;

	private volatile ScheduledFuture<?> scheduledCheck;

	private volatile int unreachableCount;

	private volatile boolean cancelRequested;

	TaskRun(EndpointClient client, ScheduledExecutorService timer, TaskPost post, Options options, Runnable onLookup,
			Consumer<Result> onTermination) {
		this.client = client;
		this.timer = timer;
		this.post = post;
		this.options = options;
		this.onLookup = onLookup;
		this.onTermination = onTermination;
	}

	void start() {
		this.pendingPost = this.client.post(this.post);
		scheduleCheck(this.options.replyTimeoutMillis());
		this.pendingPost.reply().thenAccept(this::onReply);
	}

	private void onReply(PostReply reply) {
		if (reply instanceof PostReply.Succeeded succeeded) {
			terminate(new Result(StartOutcome.Kind.SUCCEEDED, succeeded.result(), "", reply.busySlotCount()));
		}
		else if (reply instanceof PostReply.Failed failed) {
			terminate(new Result(StartOutcome.Kind.FAILED, null, failed.detail(), reply.busySlotCount()));
		}
		else if (reply instanceof PostReply.Refused refused) {
			terminate(new Result(kindOf(refused.reason()), null, "", reply.busySlotCount()));
		}
		else if (reply instanceof PostReply.NotSent notSent) {
			terminate(StartOutcome.Kind.NOT_CONNECTED, null, notSent.detail());
		}
		else if (reply instanceof PostReply.Uncertain uncertain) {
			onUncertainReply(uncertain.detail());
		}
	}

	private static StartOutcome.Kind kindOf(EndpointClient.RefusalReason reason) {
		return switch (reason) {
			case FULL -> StartOutcome.Kind.REFUSED_FULL;
			case LEAVING -> StartOutcome.Kind.REFUSED_LEAVING;
			case NEVER_FITS -> StartOutcome.Kind.REFUSED_NEVER_FITS;
		};
	}

	private void onUncertainReply(String detail) {
		if (!this.options.lookup()) {
			terminate(StartOutcome.Kind.LOST, null, detail);
			return;
		}
		cancelScheduledCheck();
		scheduleCheck(UNCERTAIN_REPLY_LOOKUP_DELAY_MILLIS);
	}

	private void scheduleCheck(long delayMillis) {
		if (this.options.lookup() && !this.terminated.get()) {
			long nextDelayMillis = Math
				.round(Math.max(delayMillis, this.options.replyTimeoutMillis()) * LOOKUP_DELAY_GROWTH);
			this.scheduledCheck = this.timer.schedule(() -> lookUp(nextDelayMillis), delayMillis,
					TimeUnit.MILLISECONDS);
		}
		else if (!this.options.lookup()) {
			this.scheduledCheck = this.timer.schedule(this::onLeaseLapsed, this.post.leaseMillis(),
					TimeUnit.MILLISECONDS);
		}
	}

	private void onLeaseLapsed() {
		if (!this.pendingPost.withdraw()) {
			terminate(StartOutcome.Kind.LOST, null, "no reply from the endpoint within the lease");
		}
	}

	private void lookUp(long nextDelayMillis) {
		if (this.terminated.get() || this.pendingPost.withdraw()) {
			return;
		}
		this.onLookup.run();
		this.client.lookup(this.post.endpoint(), this.post.task())
			.thenAccept((reply) -> onLookupReply(reply, nextDelayMillis));
	}

	private void onLookupReply(LookupReply reply, long nextDelayMillis) {
		switch (reply.state()) {
			case RUNNING -> scheduleCheck(delayWhileRunningMillis(nextDelayMillis));
			case FINISHED -> terminate(StartOutcome.Kind.SUCCEEDED, reply.result(), "");
			case FAILED -> terminate(StartOutcome.Kind.FAILED, null, "the endpoint reported a failure");
			case UNKNOWN -> terminate(StartOutcome.Kind.LOST, null, "the endpoint has no record of the task");
			case UNREACHABLE -> onUnreachable(nextDelayMillis);
		}
	}

	private long delayWhileRunningMillis(long nextDelayMillis) {
		boolean replyPending = this.pendingPost != null && !this.pendingPost.reply().isDone();
		return replyPending ? nextDelayMillis : Math.min(nextDelayMillis, this.options.pollIntervalMillis());
	}

	private void onUnreachable(long nextDelayMillis) {
		this.unreachableCount++;
		if (this.unreachableCount >= MAX_UNREACHABLE_COUNT) {
			terminate(StartOutcome.Kind.LOST, null, "the endpoint is unreachable");
			return;
		}
		scheduleCheck(nextDelayMillis);
	}

	private void cancelScheduledCheck() {
		ScheduledFuture<?> check = this.scheduledCheck;
		if (check != null) {
			check.cancel(false);
		}
	}

	boolean isTerminated() {
		return this.terminated.get();
	}

	HostAddress endpoint() {
		return this.post.endpoint();
	}

	TaskId task() {
		return this.post.task();
	}

	/**
	 * Records that the task is being cancelled. A failure or loss of the run is then
	 * reported as cancelled, so that it does not count against the endpoint.
	 */
	void markCancelRequested() {
		this.cancelRequested = true;
	}

	/**
	 * Stops waiting for the reply because the job has ended. Reports the run as
	 * cancelled, unless its termination was reported before.
	 */
	void abandon() {
		terminate(StartOutcome.Kind.CANCELLED, null, "cancelled");
	}

	private void terminate(StartOutcome.Kind kind, String result, String detail) {
		terminate(new Result(kind, result, detail, StartOutcome.UNKNOWN_COUNT));
	}

	private void terminate(Result result) {
		if (!this.terminated.compareAndSet(false, true)) {
			return;
		}
		cancelScheduledCheck();
		PendingPost currentPost = this.pendingPost;
		if (currentPost != null && !currentPost.reply().isDone()) {
			currentPost.abandon();
		}
		this.onTermination.accept(this.cancelRequested ? result.asCancelled() : result);
	}

	/**
	 * Holds the lookup support and the wait times of a run.
	 *
	 * @param lookup whether the endpoint supports status lookups; otherwise the run
	 * counts as lost when its lease expires
	 * @param replyTimeoutMillis how long to wait for the reply before the first lookup,
	 * in milliseconds
	 * @param pollIntervalMillis the maximum time between lookups once no reply can arrive
	 * any more, in milliseconds
	 */
	record Options(boolean lookup, long replyTimeoutMillis, long pollIntervalMillis) {

	}

	/**
	 * Describes how a run terminated.
	 *
	 * @param kind the kind of outcome
	 * @param result the result if it succeeded, else {@code null}
	 * @param detail the cause of a failure or loss, else an empty string
	 * @param busySlotCount the number of busy slots that the endpoint reported with its
	 * reply, or {@link StartOutcome#UNKNOWN_COUNT} if it reported none
	 */
	record Result(StartOutcome.Kind kind, String result, String detail, int busySlotCount) {

		/**
		 * Returns the result of a run whose task was being cancelled. Failure and loss
		 * become {@code CANCELLED}, since they are no fault of the endpoint then.
		 * @return the result to report
		 */
		Result asCancelled() {
			boolean stopped = this.kind == StartOutcome.Kind.FAILED || this.kind == StartOutcome.Kind.LOST;
			return stopped
					? new Result(StartOutcome.Kind.CANCELLED, this.result, this.detail, StartOutcome.UNKNOWN_COUNT)
					: this;
		}

	}

}
