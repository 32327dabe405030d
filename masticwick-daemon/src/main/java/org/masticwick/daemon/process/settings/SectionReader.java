package org.masticwick.daemon.process.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;

import org.masticwick.core.process.HostAddress;

/**
 * Reads the values of one section and notes what is wrong with them. A wrong value is
 * replaced by its default, so that the rest of the file can be checked too.
 */
final class SectionReader {

	private static final String MISSING = "(missing)";

	private static final String ADDRESS = "an address \"ip:port\"";

	private final String file;

	private final String section;

	private final JsonNode node;

	private final Consumer<SettingsProblem> problems;

	private final Set<String> knownKeys = new LinkedHashSet<>();

	SectionReader(String file, String section, JsonNode node, Consumer<SettingsProblem> problems) {
		this.file = file;
		this.section = section;
		this.node = node;
		this.problems = problems;
	}

	long milliseconds(String key, long defaultValue, long min, long max) {
		return whole(key, defaultValue, min, max, "milliseconds");
	}

	int bytes(String key, int defaultValue, int min, int max) {
		return (int) whole(key, defaultValue, min, max, "bytes");
	}

	long bytes(String key, long defaultValue, long min, long max) {
		return whole(key, defaultValue, min, max, "bytes");
	}

	int count(String key, int defaultValue, int min, int max) {
		return (int) whole(key, defaultValue, min, max, "");
	}

	double fraction(String key, double defaultValue) {
		String allowed = "a number, 0.0 to 1.0";
		JsonNode value = get(key);
		if (value == null) {
			return defaultValue;
		}
		if (!value.isNumber() || !(value.doubleValue() >= 0.0 && value.doubleValue() <= 1.0)) {
			report(key, value.toString(), allowed);
			return defaultValue;
		}
		return value.doubleValue();
	}

	String text(String key, String defaultValue, Pattern pattern, String allowed) {
		JsonNode value = get(key);
		if (value == null) {
			return withDefault(key, defaultValue, allowed, "");
		}
		if (!value.isTextual() || !pattern.matcher(value.textValue()).matches()) {
			report(key, value.toString(), allowed);
			return (defaultValue != null) ? defaultValue : "";
		}
		return value.textValue();
	}

	String choice(String key, String defaultValue, List<String> choices) {
		String allowed = "one of " + String.join(", ", choices);
		String pattern = String.join("|", choices);
		return text(key, defaultValue, Pattern.compile(pattern), allowed).toLowerCase(Locale.ROOT);
	}

	InetSocketAddress listenAddress(String key, String defaultValue) {
		String allowed = ADDRESS + ", port 0 to 65535";
		JsonNode value = get(key);
		InetSocketAddress fallback = AddressParser.parse(defaultValue, 0).orElseThrow();
		if (value == null) {
			return fallback;
		}
		Optional<InetSocketAddress> address = AddressParser.parse(value.asText(), 0);
		if (address.isEmpty()) {
			report(key, value.toString(), allowed);
		}
		return address.orElse(fallback);
	}

	HostAddress optionalAddress(String key) {
		JsonNode value = get(key);
		return (value != null) ? hostAddress(key, value).orElse(null) : null;
	}

	HostAddress requiredAddress(String key) {
		HostAddress placeholder = new HostAddress("0.0.0.0", 1);
		JsonNode value = get(key);
		if (value == null) {
			return withDefault(key, null, ADDRESS + ", port 1 to 65535", placeholder);
		}
		return hostAddress(key, value).orElse(placeholder);
	}

	List<HostAddress> addresses(String key) {
		JsonNode value = get(key);
		if (value == null) {
			return List.of();
		}
		if (!value.isArray()) {
			report(key, value.toString(), "a list, each " + ADDRESS);
			return List.of();
		}
		List<HostAddress> addresses = new ArrayList<>();
		for (int index = 0; index < value.size(); index++) {
			hostAddress(key + "[" + index + "]", value.get(index)).ifPresent(addresses::add);
		}
		return addresses;
	}

	/**
	 * Notes every key of the section that no value was read from.
	 */
	void reportUnknownKeys() {
		this.node.fieldNames().forEachRemaining((key) -> {
			if (!this.knownKeys.contains(key)) {
				report(key, this.node.get(key).toString(), unknownKey(key, this.knownKeys));
			}
		});
	}

	/**
	 * Notes a value that clashes with another one.
	 * @param key the key
	 * @param value the value
	 * @param allowed what is allowed
	 */
	void report(String key, String value, String allowed) {
		this.problems.accept(new SettingsProblem(this.file, this.section + "." + key, value, allowed));
	}

	/**
	 * Tells what is allowed in place of an unknown key.
	 * @param key the unknown key
	 * @param known the known keys
	 * @return the text
	 */
	static String unknownKey(String key, Set<String> known) {
		String hint = NearestKey.find(key, known).map((near) -> "; nearest is " + near).orElse("");
		return "unknown key" + hint + "; known are " + String.join(", ", known);
	}

	private long whole(String key, long defaultValue, long min, long max, String unit) {
		String number = unit.isEmpty() ? "a whole number" : "a whole number of " + unit;
		String allowed = number + ", " + min + " to " + max;
		JsonNode value = get(key);
		if (value == null) {
			return defaultValue;
		}
		boolean fits = value.isIntegralNumber() && value.canConvertToLong();
		if (!fits || value.longValue() < min || value.longValue() > max) {
			report(key, value.toString(), allowed);
			return defaultValue;
		}
		return value.longValue();
	}

	private Optional<HostAddress> hostAddress(String key, JsonNode value) {
		Optional<HostAddress> address = AddressParser.parse(value.asText(), 1)
			.map((parsed) -> HostAddress.parse(value.asText()));
		if (address.isEmpty()) {
			report(key, value.toString(), ADDRESS + ", port 1 to 65535");
		}
		return address;
	}

	private <T> T withDefault(String key, T defaultValue, String allowed, T placeholder) {
		if (defaultValue != null) {
			return defaultValue;
		}
		report(key, MISSING, allowed);
		return placeholder;
	}

	private JsonNode get(String key) {
		this.knownKeys.add(key);
		return this.node.get(key);
	}

}
