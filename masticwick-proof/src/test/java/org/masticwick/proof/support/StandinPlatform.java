package org.masticwick.proof.support;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;

/**
 * Runs the platform stand-in as a child process and injects faults into it.
 */
public final class StandinPlatform implements AutoCloseable {

	static final String MODULE = "masticwick-standin";

	static final List<String> JAVA_OPTIONS = List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:+ExitOnOutOfMemoryError");

	private final ManagedProcess process;

	private final ApiClient client;

	private StandinPlatform(ManagedProcess process, ApiClient client) {
		this.process = process;
		this.client = client;
	}

	/**
	 * Starts a platform and waits until it reports that it has started.
	 * @param client the client for HTTP requests to the platform
	 * @param options additional command line arguments
	 * @return the platform
	 */
	public static StandinPlatform start(ApiClient client, String... options) {
		List<String> arguments = new ArrayList<>(List.of("platform", "--listen", "127.0.0.1:0"));
		arguments.addAll(List.of(options));
		return new StandinPlatform(ManagedProcess.start("platform", MODULE, JAVA_OPTIONS, arguments), client);
	}

	/**
	 * Returns the address at which the platform listens.
	 * @return the address
	 */
	public HostAddress address() {
		return HostAddress.parse(this.process.started().path("platform").textValue());
	}

	/**
	 * Returns the child process.
	 * @return the process
	 */
	public ManagedProcess process() {
		return this.process;
	}

	/**
	 * Appends records to a stream.
	 * @param stream the stream
	 * @param records the records
	 * @return the reply
	 */
	public ApiClient.Reply append(String stream, String... records) {
		String body = ApiClient.write(Map.of("records", records));
		return this.client.send("POST", address(), "/log/" + stream, body, Map.of());
	}

	/**
	 * Sets the injected faults.
	 * @param faults the JSON fields of {@code POST /admin/faults}
	 */
	public void fault(Map<String, Object> faults) {
		ApiClient.Reply reply = this.client.send("POST", address(), "/admin/faults", ApiClient.write(faults), Map.of());
		if (reply.status() != 204) {
			throw new IllegalStateException("Platform rejected the faults: " + reply);
		}
	}

	/**
	 * Returns the state of the platform, with its counts and offsets.
	 * @return the tree of {@code GET /admin/state}
	 */
	public JsonNode state() {
		return this.client.send("GET", address(), "/admin/state").json();
	}

	/**
	 * Returns the host list that the platform currently serves.
	 * @return the array {@code hosts} of {@code GET /hosts}
	 */
	public JsonNode hosts() {
		return this.client.send("GET", address(), "/hosts").json().path("hosts");
	}

	@Override
	public void close() {
		this.process.close();
	}

}
