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

	private static final double SILENCE_GROWTH = 1.5;

	private static final long FIRST_QUESTION_MILLIS = 20;

	private static final int MAX_UNREACHABLE_COUNT = 4;

	private final EndpointClient client;

	private final ScheduledExecutorService timer;

	private final TaskPost post;

	private final Options options;

	private final Runnable onLookup;

	private final Consumer<Result> onEnd;

	private final AtomicBoolean ended = new AtomicBoolean();

	private volatile PendingPost pending;

	private volatile ScheduledFuture<?> question;

	private volatile int unreachableCount;

	private volatile boolean cancelling;

	TaskRun(EndpointClient client, ScheduledExecutorService timer, TaskPost post, Options options, Runnable onLookup,
			Consumer<Result> onEnd) {
		this.client = client;
		this.timer = timer;
		this.post = post;
		this.options = options;
		this.onLookup = onLookup;
		this.onEnd = onEnd;
	}

	void begin() {
		this.pending = this.client.post(this.post);
		askLater(this.options.silenceMillis());
		this.pending.reply().thenAccept(this::onReply);
	}

	private void onReply(PostReply reply) {
		if (reply instanceof PostReply.Succeeded succeeded) {
			end(new Result(StartOutcome.Kind.SUCCEEDED, succeeded.result(), "", reply.busySlotCount()));
		}
		else if (reply instanceof PostReply.Failed failed) {
			end(new Result(StartOutcome.Kind.FAILED, null, failed.detail(), reply.busySlotCount()));
		}
		else if (reply instanceof PostReply.Refused refused) {
			end(new Result(kindOf(refused.reason()), null, "", reply.busySlotCount()));
		}
		else if (reply instanceof PostReply.NotSent notSent) {
			end(StartOutcome.Kind.NOT_CONNECTED, null, notSent.detail());
		}
		else if (reply instanceof PostReply.Uncertain uncertain) {
			resolve(uncertain.detail());
		}
	}

	private static StartOutcome.Kind kindOf(EndpointClient.RefusalReason reason) {
		return switch (reason) {
			case FULL -> StartOutcome.Kind.REFUSED_FULL;
			case LEAVING -> StartOutcome.Kind.REFUSED_LEAVING;
			case NEVER_FITS -> StartOutcome.Kind.REFUSED_NEVER_FITS;
		};
	}

	private void resolve(String detail) {
		if (!this.options.lookup()) {
			end(StartOutcome.Kind.LOST, null, detail);
			return;
		}
		cancelQuestion();
		askLater(FIRST_QUESTION_MILLIS);
	}

	private void askLater(long delayMillis) {
		if (this.options.lookup() && !this.ended.get()) {
			long next = Math.round(Math.max(delayMillis, this.options.silenceMillis()) * SILENCE_GROWTH);
			this.question = this.timer.schedule(() -> ask(next), delayMillis, TimeUnit.MILLISECONDS);
		}
		else if (!this.options.lookup()) {
			this.question = this.timer.schedule(() -> end(StartOutcome.Kind.LOST, null, "no reply within the lease"),
					this.post.leaseMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void ask(long nextDelayMillis) {
		if (this.ended.get()) {
			return;
		}
		this.onLookup.run();
		this.client.lookup(this.post.endpoint(), this.post.task())
			.thenAccept((reply) -> onLookup(reply, nextDelayMillis));
	}

	private void onLookup(LookupReply reply, long nextDelayMillis) {
		switch (reply.state()) {
			case RUNNING -> askLater(runningDelayMillis(nextDelayMillis));
			case FINISHED -> end(StartOutcome.Kind.SUCCEEDED, reply.result(), "");
			case FAILED -> end(StartOutcome.Kind.FAILED, null, "the endpoint told a failure");
			case UNKNOWN -> end(StartOutcome.Kind.LOST, null, "the endpoint does not know the task");
			case UNREACHABLE -> onUnreachable(nextDelayMillis);
		}
	}

	private long runningDelayMillis(long nextDelayMillis) {
		boolean replyMayCome = this.pending != null && !this.pending.reply().isDone();
		return replyMayCome ? nextDelayMillis : Math.min(nextDelayMillis, this.options.pollMillis());
	}

	private void onUnreachable(long nextDelayMillis) {
		this.unreachableCount++;
		if (this.unreachableCount >= MAX_UNREACHABLE_COUNT) {
			end(StartOutcome.Kind.LOST, null, "the endpoint is unreachable");
			return;
		}
		askLater(nextDelayMillis);
	}

	private void cancelQuestion() {
		ScheduledFuture<?> current = this.question;
		if (current != null) {
			current.cancel(false);
		}
	}

	boolean ended() {
		return this.ended.get();
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
	void cancelling() {
		this.cancelling = true;
	}

	/**
	 * Stops waiting, since the job has ended. The end is told once all the same.
	 */
	void abandon() {
		end(StartOutcome.Kind.CANCELLED, null, "cancelled");
	}

	private void end(StartOutcome.Kind kind, String result, String detail) {
		end(new Result(kind, result, detail, StartOutcome.UNKNOWN_COUNT));
	}

	private void end(Result result) {
		if (!this.ended.compareAndSet(false, true)) {
			return;
		}
		cancelQuestion();
		PendingPost current = this.pending;
		if (current != null && !current.reply().isDone()) {
			current.abandon();
		}
		this.onEnd.accept(this.cancelling ? result.ofCancelledTask() : result);
	}

	/**
	 * Bounds the waiting of a run.
	 *
	 * @param lookup whether the endpoint answers look-ups
	 * @param silenceMillis how long to wait for the reply before asking, in milliseconds
	 * @param pollMillis how long to wait between questions once the reply can't come, in
	 * milliseconds
	 */
	record Options(boolean lookup, long silenceMillis, long pollMillis) {

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
		Result ofCancelledTask() {
			boolean stopped = this.kind == StartOutcome.Kind.FAILED || this.kind == StartOutcome.Kind.LOST;
			return stopped
					? new Result(StartOutcome.Kind.CANCELLED, this.result, this.detail, StartOutcome.UNKNOWN_COUNT)
					: this;
		}

	}

}
