package org.masticwick.daemon.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;

/**
 * Client of the endpoints' protocol. Implementations never retry a call, since a retried
 * post could start a task twice.
 */
public interface EndpointClient extends AutoCloseable {

	/**
	 * Posts a task to its endpoint.
	 * @param post the task
	 * @return the pending post, whose reply never completes exceptionally
	 */
	PendingPost post(TaskPost post);

	/**
	 * Asks an endpoint for the state of a task by its id, on a connection opened for this
	 * call.
	 * @param endpoint the endpoint
	 * @param task the id of the task
	 * @return the reply, which never completes exceptionally
	 */
	CompletableFuture<LookupReply> lookup(HostAddress endpoint, TaskId task);

	/**
	 * Cancels several tasks of an endpoint by one message. Best effort: a failure is not
	 * reported to the caller.
	 * @param endpoint the endpoint
	 * @param tasks the ids of the tasks
	 */
	void cancel(HostAddress endpoint, List<TaskId> tasks);

	@Override
	void close();

	/**
	 * A task with all that its endpoint needs to run it.
	 *
	 * @param task the id of the task
	 * @param endpoint the endpoint
	 * @param service the name of the service that the task belongs to
	 * @param kind the kind of task
	 * @param payload the input of the task, sent as it is
	 * @param leaseMillis how long the endpoint may run the task and keep its result, in
	 * milliseconds
	 */
	record TaskPost(TaskId task, HostAddress endpoint, String service, String kind, String payload, long leaseMillis) {

	}

	/**
	 * A post whose reply is pending.
	 */
	interface PendingPost {

		/**
		 * Returns the future of the reply.
		 * @return the reply
		 */
		CompletableFuture<PostReply> reply();

		/**
		 * Gives up the post if certainly no byte of its payload was written, so that the
		 * task can start elsewhere. The reply is then {@link PostReply.NotSent}.
		 * @return {@code true} if the task can't start any more through this post
		 */
		boolean withdraw();

		/**
		 * Stops waiting and closes the connection. This doesn't cancel the task at the
		 * endpoint.
		 */
		void abandon();

	}

	/**
	 * The outcome of a post.
	 */
	sealed interface PostReply {

		/** The number of busy slots if the reply doesn't contain it. */
		int UNKNOWN_COUNT = -1;

		/**
		 * Returns how many slots of the endpoint were busy when it replied.
		 * @return the count, or {@value #UNKNOWN_COUNT} if the reply doesn't contain it
		 */
		default int busySlotCount() {
			return UNKNOWN_COUNT;
		}

		/**
		 * The task ran and has a result.
		 *
		 * @param result the result
		 * @param busySlotCount how many slots of the endpoint were busy when it replied
		 */
		record Succeeded(String result, int busySlotCount) implements PostReply {

		}

		/**
		 * The task ran and failed.
		 *
		 * @param detail a description for people
		 * @param busySlotCount how many slots of the endpoint were busy when it replied
		 */
		record Failed(String detail, int busySlotCount) implements PostReply {

		}

		/**
		 * The endpoint refused the task before it started.
		 *
		 * @param reason the reason that the endpoint gave
		 * @param busySlotCount how many slots of the endpoint were busy when it replied
		 */
		record Refused(RefusalReason reason, int busySlotCount) implements PostReply {

		}

		/**
		 * No byte of the payload was written and none will be, so the task does not
		 * start.
		 *
		 * @param detail what went wrong
		 */
		record NotSent(String detail) implements PostReply {

		}

		/**
		 * It is unknown whether the task started: the request may have been sent, but no
		 * conclusive reply was received.
		 *
		 * @param detail what went wrong
		 */
		record Uncertain(String detail) implements PostReply {

		}

	}

	/**
	 * The reason for which an endpoint refused a task.
	 */
	enum RefusalReason {

		/** All slots of the endpoint are busy. */
		FULL,

		/** The endpoint is shutting down. */
		LEAVING,

		/** The task exceeds what the endpoint can run even when idle. */
		NEVER_FITS

	}

	/**
	 * Reply of an endpoint to a status lookup.
	 *
	 * @param state the state of the task
	 * @param result the result if the task finished, otherwise {@code null}
	 */
	record LookupReply(LookupState state, String result) {

	}

	/**
	 * The state of a task as reported by its endpoint.
	 */
	enum LookupState {

		/** The task is running. */
		RUNNING,

		/** The task finished and has a result. */
		FINISHED,

		/** The task failed or was cancelled. */
		FAILED,

		/** The endpoint has no record of the task. */
		UNKNOWN,

		/** The endpoint gave no valid reply. */
		UNREACHABLE

	}

}
