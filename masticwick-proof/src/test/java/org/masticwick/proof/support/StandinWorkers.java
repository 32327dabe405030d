package org.masticwick.proof.support;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;

/**
 * Runs the stand-ins of the workers of one failure domain and steers their faults.
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
	 * Starts the workers of a failure domain.
	 * @param client what sends the requests
	 * @param domain the failure domain
	 * @param options more of the command line
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
	 * Returns the failure domain.
	 * @return the name
	 */
	public String domain() {
		return this.domain;
	}

	/**
	 * Returns where the workers listen.
	 * @return the addresses in the order of the workers
	 */
	public List<HostAddress> addresses() {
		return StreamSupport.stream(this.process.started().path("workers").spliterator(), false)
			.map((address) -> HostAddress.parse(address.textValue()))
			.toList();
	}

	/**
	 * Returns the process.
	 * @return the process
	 */
	public ManagedProcess process() {
		return this.process;
	}

	/**
	 * Changes the faults of one worker.
	 * @param index the index of the worker
	 * @param faults the fields of {@code POST /admin/faults} but for the worker
	 */
	public void fault(int index, Map<String, Object> faults) {
		setFaults(index, faults);
	}

	/**
	 * Changes the faults of all workers.
	 * @param faults the fields of {@code POST /admin/faults} but for the worker
	 */
	public void faultAll(Map<String, Object> faults) {
		setFaults("all", faults);
	}

	/**
	 * Returns how often each task was started.
	 * @param prefix what the task ids start with; empty for all
	 * @return the counts by task id
	 */
	public Map<String, Integer> starts(String prefix) {
		return counts("/admin/starts?ticket=" + prefix, "starts");
	}

	/**
	 * Returns the tasks that were started more than once; none if the promise holds.
	 * @return the counts by task id
	 */
	public Map<String, Integer> doubleStarts() {
		return counts("/admin/starts?min=2", "starts");
	}

	/**
	 * Returns how often each task was refused as a duplicate.
	 * @param prefix what the task ids start with; empty for all
	 * @return the counts by task id
	 */
	public Map<String, Integer> duplicates(String prefix) {
		return counts("/admin/starts?ticket=" + prefix, "duplicates");
	}

	/**
	 * Returns the counts of messages over all workers.
	 * @return the counts by name
	 */
	public Map<String, Integer> totals() {
		return counts("/admin/counters", "total");
	}

	/**
	 * Returns the counts of messages of each worker.
	 * @return the tree of {@code GET /admin/counters}
	 */
	public JsonNode counters() {
		return sendAdmin("GET", "/admin/counters", "").json();
	}

	/**
	 * Describes the workers.
	 * @return the tree of {@code GET /admin/workers}
	 */
	public JsonNode describe() {
		return sendAdmin("GET", "/admin/workers", "").json().path("workers");
	}

	/** Forgets the counts of starts and duplicates. */
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
			throw new IllegalStateException("Faults refused: " + reply);
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
