package org.masticwick.daemon.request;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.masticwick.core.process.ErrorCode;
import org.masticwick.core.request.Ticket;

/**
 * Issues blocks of tickets to callers.
 */
public final class TicketIssuer {

	private static final int CREATED = 201;

	private final ObjectMapper mapper = new ObjectMapper();

	private final TicketRegistries books;

	private final int maxCount;

	/**
	 * Creates an issuer.
	 * @param books the books of this process
	 * @param maxCount how many tickets a block has at most
	 */
	public TicketIssuer(TicketRegistries books, int maxCount) {
		this.books = books;
		this.maxCount = maxCount;
	}

	/**
	 * Issues the tickets that a request asks for.
	 * @param body the body; empty for one ticket
	 * @return the answer
	 * @throws NotHolderException if this process has handed its tickets over
	 */
	HttpAnswer issue(byte[] body) {
		try {
			return toAnswer(this.books.issue(count(body)));
		}
		catch (NotHolderException ex) {
			throw ex;
		}
		catch (RequestException ex) {
			return Answers.problem(ex);
		}
	}

	private int count(byte[] body) {
		if (body.length == 0) {
			return 1;
		}
		JsonNode count = parse(body).path("count");
		boolean valid = count.isInt() && count.intValue() >= 1 && count.intValue() <= this.maxCount;
		if (!count.isMissingNode() && !valid) {
			throw new RequestException(ErrorCode.INVALID_REQUEST,
					"count: a whole number from 1 to " + this.maxCount + " is required");
		}
		return count.asInt(1);
	}

	private JsonNode parse(byte[] body) {
		try {
			JsonNode root = this.mapper.readTree(body);
			if (root.isObject()) {
				return root;
			}
			throw new RequestException(ErrorCode.MALFORMED_REQUEST, "The body is not a JSON object");
		}
		catch (IOException ex) {
			throw new RequestException(ErrorCode.MALFORMED_REQUEST, "The body is not JSON", ex);
		}
	}

	private HttpAnswer toAnswer(List<Ticket> tickets) {
		List<String> texts = tickets.stream().map(Ticket::toString).toList();
		try {
			return HttpAnswer.json(CREATED,
					this.mapper.writeValueAsBytes(new IssuedTickets(texts, tickets.get(0).expiryEpochMillis())));
		}
		catch (IOException ex) {
			throw new RequestException(ErrorCode.INTERNAL, "The tickets can't be written", ex);
		}
	}

	/**
	 * Is the answer to a caller.
	 *
	 * @param tickets the tickets
	 * @param expiresAtMillis when they expire, in milliseconds since the epoch
	 */
	private record IssuedTickets(List<String> tickets, @JsonProperty("expires_at_ms") long expiresAtMillis) {

	}

}
