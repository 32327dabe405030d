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
 * Sees one start through to its end: posts the task once, and asks by task id when the
 * reply stays away or leaves open whether the task ran. It never posts again.
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

	private static StartOutcome.Kind kindOf(EndpointClient.Reason reason) {
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
			this.scheduledCheck = this.timer.schedule(
					() -> terminate(StartOutcome.Kind.LOST, null, "no reply within the lease"), this.post.leaseMillis(),
					TimeUnit.MILLISECONDS);
		}
	}

	private void lookUp(long nextDelayMillis) {
		if (this.terminated.get()) {
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
			case FAILED -> terminate(StartOutcome.Kind.FAILED, null, "the endpoint told a failure");
			case UNKNOWN -> terminate(StartOutcome.Kind.LOST, null, "the endpoint does not know the task");
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
	 * Notes that the task is being cancelled: its end is no longer told as a fault of the
	 * endpoint.
	 */
	void markCancelRequested() {
		this.cancelRequested = true;
	}

	/**
	 * Stops waiting, since the job has ended. The end is told once all the same.
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
	 * Bounds the waiting of a run.
	 *
	 * @param lookup whether the endpoint answers look-ups
	 * @param replyTimeoutMillis how long to wait for the reply before asking, in
	 * milliseconds
	 * @param pollIntervalMillis how long to wait between questions once the reply can't
	 * come, in milliseconds
	 */
	record Options(boolean lookup, long replyTimeoutMillis, long pollIntervalMillis) {

	}

	/**
	 * Tells how a run ended.
	 *
	 * @param kind the kind of end
	 * @param result the result if it succeeded, else {@code null}
	 * @param detail what went wrong, for people
	 * @param busySlotCount how many slots of the endpoint were taken when it replied;
	 * {@link StartOutcome#UNKNOWN_COUNT} if it didn't tell
	 */
	record Result(StartOutcome.Kind kind, String result, String detail, int busySlotCount) {

		/**
		 * Returns the end of a task that was being cancelled, which is no fault of its
		 * endpoint.
		 * @return the end
		 */
		Result asCancelled() {
			boolean stopped = this.kind == StartOutcome.Kind.FAILED || this.kind == StartOutcome.Kind.LOST;
			return stopped
					? new Result(StartOutcome.Kind.CANCELLED, this.result, this.detail, StartOutcome.UNKNOWN_COUNT)
					: this;
		}

	}

}
