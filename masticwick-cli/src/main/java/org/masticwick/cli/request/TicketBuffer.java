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

import org.masticwick.cli.connection.AsyncHttpClient;
import org.masticwick.cli.connection.HttpResponse;
import org.masticwick.core.process.TimeSource;

/**
 * Buffers tickets of one host. It fetches them in blocks, so that one request to the host
 * yields the tickets of several jobs.
 */
final class TicketBuffer {

	private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(5);

	private final AsyncHttpClient httpClient;

	private final TimeSource timeSource;

	private final HttpUrl host;

	private final int blockTicketCount;

	private final long expiryMarginMillis;

	private final Queue<Ticket> tickets = new ConcurrentLinkedQueue<>();

	private final AtomicReference<CompletableFuture<Void>> pendingRefill = new AtomicReference<>();

	TicketBuffer(AsyncHttpClient httpClient, TimeSource timeSource, HttpUrl host, int blockTicketCount,
			long expiryMarginMillis) {
		this.httpClient = httpClient;
		this.timeSource = timeSource;
		this.host = host;
		this.blockTicketCount = blockTicketCount;
		this.expiryMarginMillis = expiryMarginMillis;
	}

	/**
	 * Removes a ticket from the buffer, which is refilled if it is empty. Tickets that
	 * expire within the margin are discarded.
	 * @return the ticket; completes exceptionally if the request for a block fails
	 */
	CompletableFuture<Ticket> take() {
		Ticket ticket = this.tickets.poll();
		while (ticket != null
				&& ticket.expiresAtEpochMillis() - this.expiryMarginMillis < this.timeSource.epochMillis()) {
			ticket = this.tickets.poll();
		}
		if (ticket != null) {
			return CompletableFuture.completedFuture(ticket);
		}
		return refill().thenCompose((ignored) -> take());
	}

	/**
	 * Fetches tickets without adding them to the buffer.
	 * @param count the number of tickets
	 * @return the tickets; completes exceptionally with {@link ProblemException} if the
	 * host refuses
	 */
	CompletableFuture<List<Ticket>> fetch(int count) {
		HttpUrl url = this.host.newBuilder().addPathSegments("v1/tickets").build();
		byte[] body = ("{\"count\":" + count + "}").getBytes(StandardCharsets.UTF_8);
		return this.httpClient.sendJson("POST", url, body, FETCH_TIMEOUT).thenApply(this::readTickets);
	}

	/**
	 * Discards the buffered tickets. Used when a request to their issuer fails, since the
	 * incarnation that issued them may have terminated.
	 */
	void clear() {
		this.tickets.clear();
	}

	private CompletableFuture<Void> refill() {
		CompletableFuture<Void> newRefill = new CompletableFuture<>();
		CompletableFuture<Void> existingRefill = this.pendingRefill.compareAndExchange(null, newRefill);
		if (existingRefill != null) {
			return existingRefill;
		}
		fetch(this.blockTicketCount).whenComplete((block, error) -> {
			if (error == null) {
				this.tickets.addAll(block);
			}
			this.pendingRefill.set(null);
			if (error == null) {
				newRefill.complete(null);
			}
			else {
				newRefill.completeExceptionally(error);
			}
		});
		return newRefill;
	}

	private List<Ticket> readTickets(HttpResponse response) {
		JsonNode json = ResponseReader.parseJson(response);
		if (!response.successful() || json.path("tickets").isEmpty()) {
			throw new ProblemException(ResponseReader.readProblem(response));
		}
		long expiresAtEpochMillis = json.path("expires_at_ms").asLong(Long.MAX_VALUE);
		List<Ticket> block = new ArrayList<>();
		json.path("tickets").forEach((text) -> block.add(new Ticket(text.asText(), this.host, expiresAtEpochMillis)));
		return block;
	}

}
