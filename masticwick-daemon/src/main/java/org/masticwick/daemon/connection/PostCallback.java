package org.masticwick.daemon.connection;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;

import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient.PostReply;

/**
 * Completes the reply of a post from the outcome of its OkHttp call. A failure before the
 * first byte of the payload was written means that the task did not start; after that,
 * the outcome is uncertain.
 */
final class PostCallback implements Callback {

	private final TaskId task;

	private final EndpointReplies replies;

	private final Runnable onMismatchedReply;

	private final CompletableFuture<PostReply> reply;

	PostCallback(TaskId task, EndpointReplies replies, Runnable onMismatchedReply, CompletableFuture<PostReply> reply) {
		this.task = task;
		this.replies = replies;
		this.onMismatchedReply = onMismatchedReply;
		this.reply = reply;
	}

	@Override
	public void onFailure(Call call, IOException ex) {
		this.reply.complete(inconclusiveReply(call, String.valueOf(ex.getMessage())));
	}

	@Override
	public void onResponse(Call call, Response response) {
		try (response) {
			PostReply decoded = readReply(response);
			this.reply.complete((decoded instanceof PostReply.Uncertain uncertain)
					? inconclusiveReply(call, uncertain.detail()) : decoded);
		}
		catch (IOException ex) {
			this.reply.complete(inconclusiveReply(call, String.valueOf(ex.getMessage())));
		}
	}

	private static PostReply inconclusiveReply(Call call, String detail) {
		boolean unwritten = WriteTracker.of(call.request()).withdraw();
		return unwritten ? new PostReply.NotSent(detail) : new PostReply.Uncertain(detail);
	}

	private PostReply readReply(Response response) throws IOException {
		if (!EndpointReplies.matchesTask(response, this.task)) {
			this.onMismatchedReply.run();
			return new PostReply.Uncertain("the reply on the connection belongs to another task");
		}
		return this.replies.readPostReply(response);
	}

}
