package org.masticwick.daemon.connection;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.request.TaskId;

/**
 * Speaks the endpoints' protocol. No call is ever repeated here.
 */
public interface EndpointClient extends AutoCloseable {

	/**
	 * Posts a task.
	 * @param post the task
	 * @return the call, whose reply never completes with an exception
	 */
	PendingPost post(TaskPost post);

	/**
	 * Asks by task id, on a connection of its own, what became of a task.
	 * @param endpoint the endpoint
	 * @param task the task
	 * @return the reply, which never completes with an exception
	 */
	CompletableFuture<LookupReply> lookup(HostAddress endpoint, TaskId task);

	/**
	 * Cancels tasks by one message.
	 * @param endpoint the endpoint
	 * @param tasks the tasks
	 */
	void cancel(HostAddress endpoint, List<TaskId> tasks);

	@Override
	void close();

	/**
	 * Is a task as an endpoint gets it.
	 *
	 * @param task the task
	 * @param endpoint the endpoint
	 * @param service the service
	 * @param kind the kind of task
	 * @param payload the payload
	 * @param leaseMillis how long the endpoint may run and remember the task, in
	 * milliseconds
	 */
	record TaskPost(TaskId task, HostAddress endpoint, String service, String kind, String payload, long leaseMillis) {

	}

	/**
	 * Is a post that waits for its reply.
	 */
	interface PendingPost {

		/**
		 * Returns the reply to come.
		 * @return the reply
		 */
		CompletableFuture<PostReply> reply();

		/**
		 * Stops waiting and closes the connection. The task is not cancelled by this.
		 */
		void abandon();

	}

	/**
	 * Is what came of a post.
	 */
	sealed interface PostReply {

		/** Stands for a number of busy slots that the endpoint didn't tell. */
		int UNKNOWN_COUNT = -1;

		/**
		 * Returns how many slots of the endpoint were taken when it replied.
		 * @return the count, or {@value #UNKNOWN_COUNT} if it didn't tell
		 */
		default int busySlotCount() {
			return UNKNOWN_COUNT;
		}

		/**
		 * The task ran and has a result.
		 *
		 * @param result the result
		 * @param busySlotCount how many slots of the endpoint were taken when it replied
		 */
		record Succeeded(String result, int busySlotCount) implements PostReply {

		}

		/**
		 * The task ran and failed.
		 *
		 * @param detail what the endpoint told
		 * @param busySlotCount how many slots of the endpoint were taken when it replied
		 */
		record Failed(String detail, int busySlotCount) implements PostReply {

		}

		/**
		 * The endpoint refused the task before it started.
		 *
		 * @param reason why
		 * @param busySlotCount how many slots of the endpoint were taken when it replied
		 */
		record Refused(RefusalReason reason, int busySlotCount) implements PostReply {

		}

		/**
		 * Not a byte of the task was written.
		 *
		 * @param detail what went wrong
		 */
		record NotSent(String detail) implements PostReply {

		}

		/**
		 * Whether the task was started can't be told from the post.
		 *
		 * @param detail what went wrong
		 */
		record Uncertain(String detail) implements PostReply {

		}

	}

	/**
	 * Tells why an endpoint refused a task.
	 */
	enum RefusalReason {

		/** All slots are taken. */
		FULL,

		/** The endpoint is leaving. */
		LEAVING,

		/** The endpoint could never run the task. */
		NEVER_FITS

	}

	/**
	 * Is what an endpoint knows of a task.
	 *
	 * @param state what became of it
	 * @param result the result if it finished, else {@code null}
	 */
	record LookupReply(LookupState state, String result) {

	}

	/**
	 * Tells what became of a task by its endpoint.
	 */
	enum LookupState {

		/** The task runs. */
		RUNNING,

		/** The task has a result. */
		FINISHED,

		/** The task failed or was cancelled. */
		FAILED,

		/** The endpoint does not know the task. */
		UNKNOWN,

		/** The endpoint did not answer. */
		UNREACHABLE

	}

}
