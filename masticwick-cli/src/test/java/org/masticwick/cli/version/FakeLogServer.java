package org.masticwick.cli.version;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.mockwebserver.Dispatcher;
import okhttp3.mockwebserver.MockResponse;
import okhttp3.mockwebserver.MockWebServer;
import okhttp3.mockwebserver.RecordedRequest;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.ReleaseNote;
import org.masticwick.core.version.SiteRecord;
import org.masticwick.core.version.SiteRecordCodec;
import org.masticwick.core.version.SiteState;
import org.masticwick.platform.HttpPlatformClient;
import org.masticwick.platform.HttpPlatformSettings;
import org.masticwick.platform.SiteLogReader;

/**
 * An HTTP server with the log of a platform in memory. It can be made to append a note of
 * another operator before that of the client, and to refuse requests.
 */
public final class FakeLogServer extends Dispatcher implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final MockWebServer server = new MockWebServer();

	private final List<String> records = new ArrayList<>();

	private final List<ReleaseNote> competingNotes = new ArrayList<>();

	private int refusalCount;

	private boolean refusingAppends;

	/**
	 * Starts a server with an empty log.
	 * @throws IOException if no port is free
	 */
	public FakeLogServer() throws IOException {
		Logger.getLogger(MockWebServer.class.getName()).setLevel(Level.WARNING);
		this.server.setDispatcher(this);
		this.server.start();
	}

	/**
	 * Returns the address of the server.
	 * @return {@code ip:port}
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getPort();
	}

	/**
	 * Appends a note to the log.
	 * @param note the note
	 */
	public synchronized void append(ReleaseNote note) {
		this.records.add(SiteRecordCodec.encode(note));
	}

	/**
	 * Appends a note of another operator just before the next append of the client.
	 * @param note the note
	 */
	public synchronized void appendBeforeNextAppend(ReleaseNote note) {
		this.competingNotes.add(note);
	}

	/**
	 * Refuses requests with status 503.
	 * @param count the number of requests to refuse
	 */
	public synchronized void refuseRequests(int count) {
		this.refusalCount = count;
	}

	/**
	 * Refuses all appends with status 503.
	 */
	public synchronized void refuseAppends() {
		this.refusingAppends = true;
	}

	/**
	 * Returns the number of records in the log.
	 * @return the number
	 */
	public synchronized int recordCount() {
		return this.records.size();
	}

	/**
	 * Returns the state that the log folds into.
	 * @return the state
	 */
	public SiteState state() {
		HostAddress address = HostAddress.parse(address());
		try (HttpPlatformClient client = new HttpPlatformClient(address, HttpPlatformSettings.DEFAULT)) {
			return new SiteLogReader(client).load().orElseThrow().finalState();
		}
	}

	@Override
	public synchronized MockResponse dispatch(RecordedRequest request) {
		boolean append = "POST".equals(request.getMethod());
		if (this.refusalCount > 0 || (append && this.refusingAppends)) {
			this.refusalCount = Math.max(0, this.refusalCount - 1);
			return new MockResponse().setResponseCode(503);
		}
		if (!request.getRequestUrl().pathSegments().equals(List.of("log", SiteRecord.STREAM))) {
			return new MockResponse().setResponseCode(404);
		}
		return new MockResponse().setBody((append ? append(request) : read(request)).toString());
	}

	private ObjectNode append(RecordedRequest request) {
		if (!this.competingNotes.isEmpty()) {
			append(this.competingNotes.remove(0));
		}
		int firstOffset = this.records.size();
		parse(request).path("records").forEach((value) -> this.records.add(value.asText()));
		return MAPPER.createObjectNode().put("first_offset", firstOffset).put("end_offset", this.records.size());
	}

	private ObjectNode read(RecordedRequest request) {
		int fromOffset = Integer.parseInt(request.getRequestUrl().queryParameter("from"));
		int limit = Integer.parseInt(request.getRequestUrl().queryParameter("limit"));
		ObjectNode page = MAPPER.createObjectNode().put("begin_offset", 0).put("end_offset", this.records.size());
		ArrayNode pageRecords = page.putArray("records");
		IntStream.range(fromOffset, Math.min(this.records.size(), fromOffset + limit))
			.forEach((offset) -> pageRecords.addObject().put("offset", offset).put("value", this.records.get(offset)));
		return page;
	}

	private static JsonNode parse(RecordedRequest request) {
		try {
			return MAPPER.readTree(request.getBody().readUtf8());
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("The client sent a body that is not JSON", ex);
		}
	}

	@Override
	public void close() throws IOException {
		this.server.shutdown();
	}

}
