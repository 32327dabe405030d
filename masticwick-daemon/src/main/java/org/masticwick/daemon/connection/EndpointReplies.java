package org.masticwick.daemon.connection;

import java.io.IOException;
import java.util.regex.Pattern;

import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.Buffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.masticwick.core.request.TaskId;
import org.masticwick.daemon.connection.EndpointClient.LookupReply;
import org.masticwick.daemon.connection.EndpointClient.LookupState;
import org.masticwick.daemon.connection.EndpointClient.PostReply;
import org.masticwick.daemon.connection.EndpointClient.RefusalReason;

/**
 * Decodes the replies of endpoints. A reply to a post that doesn't state whether the task
 * started is decoded as uncertain.
 */
final class EndpointReplies {

	private static final Logger logger = LoggerFactory.getLogger(EndpointReplies.class);

	private static final Pattern COUNT_PATTERN = Pattern.compile("\\d{1,6}");

	private final long maxResultBytes;

	EndpointReplies(long maxResultBytes) {
		this.maxResultBytes = maxResultBytes;
	}

	/**
	 * Returns whether a reply belongs to a task. A kept-alive connection may still
	 * deliver the reply to an earlier request for another task.
	 * @param response the reply
	 * @param task the task
	 * @return {@code true} if the reply names the task
	 */
	static boolean matchesTask(Response response, TaskId task) {
		return task.toString().equals(response.header("Task-Id"));
	}

	/**
	 * Decodes the reply to a post.
	 * @param response the reply, which must belong to the posted task
	 * @return the outcome of the post
	 * @throws IOException if the result is truncated, of unknown length or longer than
	 * the limit
	 */
	PostReply readPostReply(Response response) throws IOException {
		if ("false".equals(response.header("Task-Started"))) {
			return readRefusal(response);
		}
		if (response.code() == 200) {
			return new PostReply.Succeeded(readResult(response), readBusySlotCount(response));
		}
		if ("true".equals(response.header("Task-Started")) && response.code() == 500) {
			return new PostReply.Failed("the endpoint reported that the task failed", readBusySlotCount(response));
		}
		return new PostReply.Uncertain("the endpoint replied with the unexpected HTTP status " + response.code());
	}

	private static PostReply readRefusal(Response response) {
		return switch (response.header("Task-Reason", "")) {
			case "full" -> new PostReply.Refused(RefusalReason.FULL, readBusySlotCount(response));
			case "leaving" -> new PostReply.Refused(RefusalReason.LEAVING, readBusySlotCount(response));
			case "never-fits" -> new PostReply.Refused(RefusalReason.NEVER_FITS, readBusySlotCount(response));
			default -> new PostReply.Uncertain("the endpoint refused the task without a known Task-Reason");
		};
	}

	private static int readBusySlotCount(Response response) {
		String count = response.header("Task-Busy-Slots", "");
		return COUNT_PATTERN.matcher(count).matches() ? Integer.parseInt(count) : PostReply.UNKNOWN_COUNT;
	}

	/**
	 * Decodes the reply to a status lookup, and closes it.
	 * @param response the reply
	 * @return the state of the task; {@code UNREACHABLE} if the reply can't be decoded
	 */
	LookupReply readLookupReply(Response response) {
		try (response) {
			return switch (response.header("Task-State", "")) {
				case "running" -> new LookupReply(LookupState.RUNNING, null);
				case "finished" -> new LookupReply(LookupState.FINISHED, readResult(response));
				case "failed", "cancelled" -> new LookupReply(LookupState.FAILED, null);
				case "unknown" -> new LookupReply(LookupState.UNKNOWN, null);
				default -> new LookupReply(LookupState.UNREACHABLE, null);
			};
		}
		catch (IOException ex) {
			logger.debug("Reading the reply to a status lookup failed; its endpoint counts as unreachable: {}",
					ex.getMessage());
			return new LookupReply(LookupState.UNREACHABLE, null);
		}
	}

	private String readResult(Response response) throws IOException {
		ResponseBody body = response.body();
		if (body == null) {
			throw new IOException("the reply has no body");
		}
		if (body.contentLength() < 0) {
			throw new IOException("the reply doesn't state the length of the result");
		}
		if (body.contentLength() > this.maxResultBytes) {
			throw new IOException("the result is longer than the limit of " + this.maxResultBytes + " bytes");
		}
		Buffer buffer = new Buffer();
		body.source().readFully(buffer, body.contentLength());
		return buffer.readUtf8();
	}

}
