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

	private final TicketRegistries registries;

	private final int maxTicketCount;

	/**
	 * Creates an issuer.
	 * @param registries the ticket registries of this host
	 * @param maxTicketCount the maximum number of tickets of a block
	 */
	public TicketIssuer(TicketRegistries registries, int maxTicketCount) {
		this.registries = registries;
		this.maxTicketCount = maxTicketCount;
	}

	/**
	 * Issues the block of tickets that a request asks for.
	 * @param body the JSON body of the request; empty for one ticket
	 * @return the tickets, or the error if the request is invalid or refused
	 * @throws NotHolderException if this host has handed its tickets over
	 */
	HttpAnswer issue(byte[] body) {
		try {
			return toAnswer(this.registries.issue(readCount(body)));
		}
		catch (NotHolderException ex) {
			throw ex;
		}
		catch (RequestException ex) {
			return Answers.problem(ex);
		}
	}

	private int readCount(byte[] body) {
		if (body.length == 0) {
			return 1;
		}
		JsonNode count = parse(body).path("count");
		boolean valid = count.isInt() && count.intValue() >= 1 && count.intValue() <= this.maxTicketCount;
		if (!count.isMissingNode() && !valid) {
			throw new RequestException(ErrorCode.INVALID_REQUEST,
					"count: a whole number from 1 to " + this.maxTicketCount + " is required");
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
			throw new RequestException(ErrorCode.INTERNAL, "The tickets can't be written as JSON", ex);
		}
	}

	/**
	 * Holds the answer to a caller.
	 *
	 * @param tickets the tickets
	 * @param expiresAtMillis when the tickets expire, in milliseconds since the epoch
	 */
	private record IssuedTickets(List<String> tickets, @JsonProperty("expires_at_ms") long expiresAtMillis) {

	}

}
