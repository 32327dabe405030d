package org.masticwick.platform;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.masticwick.core.process.HostAddress;

/**
 * Parses and writes the entries of the platform's list of hosts as JSON.
 */
final class HostJson {

	private HostJson() {
	}

	/**
	 * Parses an entry.
	 * @param node the entry
	 * @return the host, or empty if its address can't be parsed or its role or state is
	 * unknown
	 */
	static Optional<PlatformHost> read(JsonNode node) {
		Optional<PlatformHost.Role> role = Arrays.stream(PlatformHost.Role.values())
			.filter((value) -> value.text().equals(node.path("role").asText()))
			.findFirst();
		Optional<PlatformHost.State> state = Arrays.stream(PlatformHost.State.values())
			.filter((value) -> value.text().equals(node.path("state").asText()))
			.findFirst();
		Optional<HostAddress> address = readAddress(node.path("address").asText());
		if (role.isEmpty() || state.isEmpty() || address.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new PlatformHost(address.get(), role.get(), node.path("domain").asText(), state.get()));
	}

	static ObjectNode write(PlatformHost host, Duration lease) {
		return JsonNodeFactory.instance.objectNode()
			.put("role", host.role().text())
			.put("domain", host.domain())
			.put("state", host.state().text())
			.put("lease_ms", lease.toMillis());
	}

	private static Optional<HostAddress> readAddress(String text) {
		try {
			return Optional.of(HostAddress.parse(text));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
