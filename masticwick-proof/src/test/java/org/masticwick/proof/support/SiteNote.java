package org.masticwick.proof.support;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.masticwick.core.process.HostAddress;
import org.masticwick.core.version.EndpointSpec;
import org.masticwick.core.version.ServiceSpec;

/**
 * Builds a release note as a log record.
 */
public final class SiteNote {

	private static final String CHANGE = "change";

	private final Map<String, Object> record = new LinkedHashMap<>();

	private final List<Map<String, Object>> services = new ArrayList<>();

	private final List<Map<String, Object>> capacities = new ArrayList<>();

	private final List<Map<String, Object>> rules = new ArrayList<>();

	/**
	 * Creates a release note without changes.
	 * @param id the id of the release note
	 * @param base the version number that its changes are based on
	 */
	public SiteNote(String id, long base) {
		this.record.put("type", "note");
		this.record.put("id", id);
		this.record.put("base", base);
		this.record.put("services", this.services);
		this.record.put("capacities", this.capacities);
		this.record.put("rules", this.rules);
	}

	/**
	 * Adds a change that adds a service.
	 * @param service the service
	 * @return this note
	 */
	public SiteNote add(ServiceSpec service) {
		Map<String, Object> change = change("add", "name", service.name());
		change.put("kinds", service.kinds().stream().sorted().toList());
		change.put("lookup", service.lookup());
		change.put("max_run_ms", service.maxRunTimeMillis());
		this.services.add(change);
		return this;
	}

	/**
	 * Adds a change that adds an endpoint.
	 * @param endpoint the endpoint and its capacity
	 * @return this note
	 */
	public SiteNote add(EndpointSpec endpoint) {
		Map<String, Object> change = change("add", "address", endpoint.address().toString());
		change.put("domain", endpoint.domain());
		change.put("rack", endpoint.rack());
		change.put("service", endpoint.service());
		change.put("slots", endpoint.slotCount());
		change.put("connections", endpoint.connectionCount());
		change.put("processors", endpoint.processorCount());
		change.put("memory_mb", endpoint.memoryMegabytes());
		change.put("accelerators", endpoint.acceleratorCount());
		this.capacities.add(change);
		return this;
	}

	/**
	 * Adds a change that withdraws an endpoint.
	 * @param address the address of the endpoint
	 * @return this note
	 */
	public SiteNote withdraw(HostAddress address) {
		this.capacities.add(change("withdraw", "address", address.toString()));
		return this;
	}

	/**
	 * Adds a change that adds a rule.
	 * @param name the name of the rule
	 * @param value the value of the rule
	 * @return this note
	 */
	public SiteNote addRule(String name, String value) {
		Map<String, Object> change = change("add", "name", name);
		change.put("value", value);
		this.rules.add(change);
		return this;
	}

	/**
	 * Adds a change that withdraws a rule.
	 * @param name the name of the rule
	 * @return this note
	 */
	public SiteNote withdrawRule(String name) {
		this.rules.add(change("withdraw", "name", name));
		return this;
	}

	/**
	 * Returns the log record.
	 * @return the JSON text
	 */
	public String text() {
		return ApiClient.write(this.record);
	}

	private static Map<String, Object> change(String kind, String key, String value) {
		Map<String, Object> change = new LinkedHashMap<>();
		change.put(CHANGE, kind);
		change.put(key, value);
		return change;
	}

}
