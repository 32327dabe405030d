package org.masticwick.cli.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.HttpUrl;

import org.masticwick.cli.connection.HttpAnswer;
import org.masticwick.cli.connection.HttpCaller;
import org.masticwick.core.process.TimeSource;

/**
 * Keeps tickets of one host ahead and fetches them in blocks.
 */
final class TicketStore {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	private final HttpCaller caller;

	private final TimeSource time;

	private final HttpUrl host;

	private final int blockCount;

	private final long marginMillis;

	private final Queue<Ticket> tickets = new ConcurrentLinkedQueue<>();

	private final AtomicReference<CompletableFuture<Void>> pending = new AtomicReference<>();

	TicketStore(HttpCaller caller, TimeSource time, HttpUrl host, int blockCount, long marginMillis) {
		this.caller = caller;
		this.time = time;
		this.host = host;
		this.blockCount = blockCount;
		this.marginMillis = marginMillis;
	}

	/**
	 * Takes a ticket that is still valid for some time.
	 * @return the ticket, or the error of the request for a block
	 */
	CompletableFuture<Ticket> take() {
		Ticket ticket = this.tickets.poll();
		while (ticket != null && ticket.expiresAtEpochMillis() - this.marginMillis < this.time.epochMillis()) {
			ticket = this.tickets.poll();
		}
		if (ticket != null) {
			return CompletableFuture.completedFuture(ticket);
		}
		return refill().thenCompose((ignored) -> take());
	}

	/**
	 * Fetches tickets past the store.
	 * @param count how many
	 * @return the tickets
	 */
	CompletableFuture<List<Ticket>> fetch(int count) {
		HttpUrl url = this.host.newBuilder().addPathSegments("v1/tickets").build();
		byte[] body = ("{\"count\":" + count + "}").getBytes(StandardCharsets.UTF_8);
		return this.caller.send("POST", url, body, LIMIT).thenApply(this::read);
	}

	/**
	 * Drops the tickets that are kept ahead, since their home may be gone.
	 */
	void clear() {
		this.tickets.clear();
	}

	private CompletableFuture<Void> refill() {
		CompletableFuture<Void> own = new CompletableFuture<>();
		CompletableFuture<Void> other = this.pending.compareAndExchange(null, own);
		if (other != null) {
			return other;
		}
		fetch(this.blockCount).whenComplete((block, error) -> {
			if (error == null) {
				this.tickets.addAll(block);
			}
			this.pending.set(null);
			if (error == null) {
				own.complete(null);
			}
			else {
				own.completeExceptionally(error);
			}
		});
		return own;
	}

	private List<Ticket> read(HttpAnswer answer) {
		JsonNode json = AnswerReader.tree(answer);
		if (!answer.successful() || json.path("tickets").isEmpty()) {
			throw new ProblemException(AnswerReader.problem(answer));
		}
		long expiresAt = json.path("expires_at_ms").asLong(Long.MAX_VALUE);
		List<Ticket> block = new ArrayList<>();
		json.path("tickets").forEach((text) -> block.add(new Ticket(text.asText(), this.host, expiresAt)));
		return block;
	}

}
