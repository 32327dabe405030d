package org.masticwick.proof.support;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;

/**
 * Runs the worker stand-ins of one failure domain in a child process and injects faults
 * into them.
 */
public final class StandinWorkers implements AutoCloseable {

	private final ManagedProcess process;

	private final ApiClient client;

	private final String domain;

	private StandinWorkers(ManagedProcess process, ApiClient client, String domain) {
		this.process = process;
		this.client = client;
		this.domain = domain;
	}

	/**
	 * Starts the workers of a failure domain and waits until their process reports that
	 * it has started.
	 * @param client the client for HTTP requests to the workers
	 * @param domain the failure domain
	 * @param options additional command line arguments
	 * @return the workers
	 */
	public static StandinWorkers start(ApiClient client, String domain, List<String> options) {
		List<String> arguments = new ArrayList<>(List.of("workers", "--domain", domain));
		arguments.addAll(options);
		ManagedProcess process = ManagedProcess.start("workers-" + domain, StandinPlatform.MODULE,
				StandinPlatform.JAVA_OPTIONS, arguments);
		return new StandinWorkers(process, client, domain);
	}

	/**
	 * Returns the failure domain of the workers.
	 * @return the name of the failure domain
	 */
	public String domain() {
		return this.domain;
	}

	/**
	 * Returns the addresses at which the workers listen.
	 * @return the addresses by the index of the worker
	 */
	public List<HostAddress> addresses() {
		return StreamSupport.stream(this.process.started().path("workers").spliterator(), false)
			.map((address) -> HostAddress.parse(address.textValue()))
			.toList();
	}

	/**
	 * Returns the child process that runs all workers of the failure domain.
	 * @return the process
	 */
	public ManagedProcess process() {
		return this.process;
	}

	/**
	 * Sets the injected faults of one worker.
	 * @param index the index of the worker
	 * @param faults the JSON fields of {@code POST /admin/faults} except {@code worker}
	 */
	public void fault(int index, Map<String, Object> faults) {
		setFaults(index, faults);
	}

	/**
	 * Sets the injected faults of all workers.
	 * @param faults the JSON fields of {@code POST /admin/faults} except {@code worker}
	 */
	public void faultAll(Map<String, Object> faults) {
		setFaults("all", faults);
	}

	/**
	 * Returns how often each task was started.
	 * @param prefix the prefix of the task ids; empty for all tasks
	 * @return the counts by task id
	 */
	public Map<String, Integer> starts(String prefix) {
		return counts("/admin/starts?ticket=" + prefix, "starts");
	}

	/**
	 * Returns the tasks that were started more than once, which must not happen.
	 * @return the start counts by task id; empty if no task was started twice
	 */
	public Map<String, Integer> doubleStarts() {
		return counts("/admin/starts?min=2", "starts");
	}

	/**
	 * Returns how often each task was refused as a duplicate.
	 * @param prefix the prefix of the task ids; empty for all tasks
	 * @return the counts by task id
	 */
	public Map<String, Integer> duplicates(String prefix) {
		return counts("/admin/starts?ticket=" + prefix, "duplicates");
	}

	/**
	 * Returns the message counts summed over all workers.
	 * @return the counts by name
	 */
	public Map<String, Integer> totals() {
		return counts("/admin/counters", "total");
	}

	/**
	 * Returns the message counts of each worker.
	 * @return the tree of {@code GET /admin/counters}
	 */
	public JsonNode counters() {
		return sendAdmin("GET", "/admin/counters", "").json();
	}

	/**
	 * Returns the configuration and state of each worker.
	 * @return the array {@code workers} of {@code GET /admin/workers}
	 */
	public JsonNode describe() {
		return sendAdmin("GET", "/admin/workers", "").json().path("workers");
	}

	/** Resets the counts of starts and duplicates. */
	public void clearStarts() {
		sendAdmin("DELETE", "/admin/starts", "");
	}

	@Override
	public void close() {
		this.process.close();
	}

	private void setFaults(Object worker, Map<String, Object> faults) {
		Map<String, Object> request = new TreeMap<>(faults);
		request.put("worker", worker);
		ApiClient.Reply reply = sendAdmin("POST", "/admin/faults", ApiClient.write(request));
		if (reply.status() != 204) {
			throw new IllegalStateException("Workers rejected the faults: " + reply);
		}
	}

	private Map<String, Integer> counts(String path, String member) {
		Map<String, Integer> counts = new TreeMap<>();
		sendAdmin("GET", path, "").json()
			.path(member)
			.fields()
			.forEachRemaining((field) -> counts.put(field.getKey(), field.getValue().intValue()));
		return counts;
	}

	private ApiClient.Reply sendAdmin(String method, String path, String body) {
		HostAddress adminAddress = HostAddress.parse(this.process.started().path("admin").textValue());
		return this.client.send(method, adminAddress, path, body, Map.of());
	}

}
