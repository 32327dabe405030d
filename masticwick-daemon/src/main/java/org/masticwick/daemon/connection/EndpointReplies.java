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
 * Reads what endpoints answer. What leaves open whether a task ran is uncertain.
 */
final class EndpointReplies {

	private static final Logger logger = LoggerFactory.getLogger(EndpointReplies.class);

	private static final Pattern COUNT = Pattern.compile("\\d{1,6}");

	private final long maxResultBytes;

	EndpointReplies(long maxResultBytes) {
		this.maxResultBytes = maxResultBytes;
	}

	/**
	 * Tells whether an answer is for a task. A kept connection may hold answers of
	 * others.
	 * @param response the answer
	 * @param task the task
	 * @return {@code true} if it is
	 */
	static boolean isFor(Response response, TaskId task) {
		return task.toString().equals(response.header("Task-Id"));
	}

	/**
	 * Reads the answer to a post.
	 * @param response the answer, which is for the task
	 * @return what came of the post
	 * @throws IOException if the answer is cut short or too long
	 */
	PostReply post(Response response) throws IOException {
		if ("false".equals(response.header("Task-Started"))) {
			return refusal(response);
		}
		if (response.code() == 200) {
			return new PostReply.Succeeded(result(response), busySlotCount(response));
		}
		if ("true".equals(response.header("Task-Started")) && response.code() == 500) {
			return new PostReply.Failed("the endpoint told a failure", busySlotCount(response));
		}
		return new PostReply.Uncertain("status " + response.code());
	}

	private static PostReply refusal(Response response) {
		return switch (response.header("Task-Reason", "")) {
			case "full" -> new PostReply.Refused(RefusalReason.FULL, busySlotCount(response));
			case "leaving" -> new PostReply.Refused(RefusalReason.LEAVING, busySlotCount(response));
			case "never-fits" -> new PostReply.Refused(RefusalReason.NEVER_FITS, busySlotCount(response));
			default -> new PostReply.Uncertain("a refusal without a known reason");
		};
	}

	private static int busySlotCount(Response response) {
		String count = response.header("Task-Busy-Slots", "");
		return COUNT.matcher(count).matches() ? Integer.parseInt(count) : PostReply.UNKNOWN_COUNT;
	}

	/**
	 * Reads the answer to a look-up, and closes it.
	 * @param response the answer
	 * @return what the endpoint knows of the task
	 */
	LookupReply lookup(Response response) {
		try (response) {
			return switch (response.header("Task-State", "")) {
				case "running" -> new LookupReply(LookupState.RUNNING, null);
				case "finished" -> new LookupReply(LookupState.FINISHED, result(response));
				case "failed", "cancelled" -> new LookupReply(LookupState.FAILED, null);
				case "unknown" -> new LookupReply(LookupState.UNKNOWN, null);
				default -> new LookupReply(LookupState.UNREACHABLE, null);
			};
		}
		catch (IOException ex) {
			logger.debug("A look-up failed: {}", ex.getMessage());
			return new LookupReply(LookupState.UNREACHABLE, null);
		}
	}

	private String result(Response response) throws IOException {
		ResponseBody body = response.body();
		if (body == null) {
			throw new IOException("no body");
		}
		if (body.contentLength() < 0) {
			throw new IOException("the length of the result is not told");
		}
		if (body.contentLength() > this.maxResultBytes) {
			throw new IOException("the result is longer than " + this.maxResultBytes + " bytes");
		}
		Buffer buffer = new Buffer();
		body.source().readFully(buffer, body.contentLength());
		return buffer.readUtf8();
	}

}
